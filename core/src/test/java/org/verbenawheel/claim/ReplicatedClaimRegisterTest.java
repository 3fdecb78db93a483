package org.verbenawheel.claim;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.identity.RequestId;
import org.verbenawheel.identity.ServiceName;
import org.verbenawheel.replication.ApplyContext;
import org.verbenawheel.replication.CommandEnvelope;
import org.verbenawheel.replication.CommandLog;
import org.verbenawheel.replication.CommandNotCommittedException;
import org.verbenawheel.replication.CommandReply;
import org.verbenawheel.replication.ControlCommand;
import org.verbenawheel.request.Body;
import org.verbenawheel.request.CallerRequest;
import org.verbenawheel.request.Headers;
import org.verbenawheel.request.IdempotencyKey;
import org.verbenawheel.request.RunVerdict;

final class ReplicatedClaimRegisterTest {
  private static final Instant START = Instant.parse("2026-12-04T08:00:00Z");

  private final FakeLog log = new FakeLog();
  private final ClaimRegister register = new ReplicatedClaimRegister(new ProcessId("entry-1"), log);

  @Test
  void secondRequestWithTheSameKeyGetsHolderAndDeadline() {
    assertThat(register.claim(request("first", "two wheels")).join())
        .isInstanceOf(ClaimOutcome.Granted.class);
    assertThat(register.claim(request("second", "two wheels")).join())
        .isEqualTo(
            new ClaimOutcome.Held(new ProcessId("entry-1"), START.plus(Duration.ofSeconds(5))));
  }

  @Test
  void sameKeyWithAnotherBodyIsRefused() {
    register.claim(request("first", "two wheels")).join();
    assertThat(register.claim(request("second", "three wheels")).join())
        .isInstanceOf(ClaimOutcome.OtherRequest.class);
  }

  /**
   * The request is not sent if its claim's reply is lost. If the committed claim stayed, requests
   * with the key would be held until its deadline and then refused as possibly run.
   */
  @Test
  void claimWithALostReplyIsUnavailableAndReleased() {
    log.repliesToLose = 1;
    assertThat(register.claim(request("first", "two wheels")).join())
        .isInstanceOf(ClaimOutcome.Unavailable.class);
    assertThat(log.committed)
        .contains(
            new RecordFailure(
                ClaimId.of(request("first", "two wheels")),
                new RequestId("first"),
                RunVerdict.NOT_RUN));
    assertThat(register.claim(request("second", "two wheels")).join())
        .isInstanceOf(ClaimOutcome.Granted.class);
  }

  private static CallerRequest request(String id, String body) {
    return new CallerRequest(
        new RequestId(id),
        new ServiceName("hobart-foundry"),
        "POST",
        "/orders",
        Headers.NONE,
        Body.ofText(body),
        Optional.of(IdempotencyKey.create(START, 7)),
        START.plus(Duration.ofSeconds(5)));
  }

  /** Applies each command immediately, and can lose replies to commands that were committed. */
  private static final class FakeLog implements CommandLog {
    private final ClaimState state = new ClaimState(ClaimPolicy.DEFAULT);
    private final List<ControlCommand> committed = new ArrayList<>();
    private int repliesToLose;

    @Override
    public CompletableFuture<CommandReply> submit(CommandEnvelope envelope) {
      committed.add(envelope.command());
      CommandReply reply =
          state.apply(envelope.command(), new ApplyContext(committed.size(), START));
      if (repliesToLose > 0) {
        repliesToLose--;
        return CompletableFuture.failedFuture(
            new CommandNotCommittedException(RunVerdict.MAY_HAVE_RUN, "no reply"));
      }
      return CompletableFuture.completedFuture(reply);
    }
  }
}
