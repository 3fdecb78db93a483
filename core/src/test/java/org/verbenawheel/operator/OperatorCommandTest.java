package org.verbenawheel.operator;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.verbenawheel.document.Document;
import org.verbenawheel.document.DocumentException;
import org.verbenawheel.document.DocumentReader;
import org.verbenawheel.identity.CommandId;
import org.verbenawheel.identity.HostName;
import org.verbenawheel.identity.PoolName;
import org.verbenawheel.maintenance.MaintenanceCommand;
import org.verbenawheel.pool.ActivityId;
import org.verbenawheel.pool.ActivityKind;
import org.verbenawheel.pool.PoolCommand;
import org.verbenawheel.replication.CommandEnvelope;

final class OperatorCommandTest {
  @Test
  void readsAMove() throws DocumentException {
    CommandEnvelope envelope =
        OperatorCommand.MOVE_HOST.read(
            body(
                "{\"commandId\":\"c-1\",\"host\":\"h-1\",\"target\":\"members-hub\","
                    + "\"expectedVersion\":7}"));
    assertThat(envelope)
        .isEqualTo(
            new CommandEnvelope(
                Optional.of(new CommandId("c-1")),
                new PoolCommand.StartActivity(
                    new HostName("h-1"),
                    new ActivityId("c-1"),
                    ActivityKind.MOVE,
                    Optional.of(new PoolName("members-hub")),
                    7)));
  }

  @Test
  void reportsEveryProblemOfABody() throws DocumentException {
    Document body = body("{\"host\":\"h 1\",\"processors\":-1,\"colour\":\"red\"}");
    DocumentException refused =
        assertThrows(DocumentException.class, () -> OperatorCommand.REGISTER_HOST.read(body));
    assertThat(refused.problems().stream().map(problem -> problem.key()))
        .containsExactly(
            "commandId",
            "host",
            "rack",
            "availabilityZone",
            "region",
            "processors",
            "pool",
            "colour");
  }

  @Test
  void readsMaintenanceCommands() throws DocumentException {
    assertThat(
            OperatorCommand.START_MAINTENANCE
                .read(body("{\"commandId\":\"c\",\"periodDays\":49,\"expectedVersion\":0}"))
                .command())
        .isEqualTo(new MaintenanceCommand.StartMaintenance(Duration.ofDays(49), 0));
    Document zeroDays = body("{\"commandId\":\"c\",\"periodDays\":0,\"expectedVersion\":0}");
    assertThrows(DocumentException.class, () -> OperatorCommand.START_MAINTENANCE.read(zeroDays));
  }

  @Test
  void findsCommandsByName() {
    assertThat(OperatorCommand.ofName("move-host")).hasValue(OperatorCommand.MOVE_HOST);
    assertThat(OperatorCommand.ofName("fly")).isEmpty();
  }

  private static Document body(String text) throws DocumentException {
    return DocumentReader.read("body", text.getBytes(UTF_8));
  }
}
