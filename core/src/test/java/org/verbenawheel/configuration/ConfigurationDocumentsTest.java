package org.verbenawheel.configuration;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.verbenawheel.codec.MessageCodec;
import org.verbenawheel.document.Document;
import org.verbenawheel.document.DocumentException;
import org.verbenawheel.document.DocumentReader;
import org.verbenawheel.identity.CommandId;

final class ConfigurationDocumentsTest {
  private static final String MINIMAL =
      """
      deployment: derwent
      services:
        hobart-desk: {pool: hobart-desk, queueLimit: 40}
      pools:
        hobart-desk: {role: SERVING, minimumHosts: 6, maximumHosts: 9}
      """;

  @Test
  void readsAConfigurationWithDefaults() throws DocumentException {
    assertThat(ConfigurationDocuments.read(document(MINIMAL)))
        .isEqualTo(SampleConfigurations.withQueueLimit(40));
  }

  @Test
  void readsAWrittenConfiguration() throws Exception {
    Configuration configuration = SampleConfigurations.withQueueLimit(7);
    String yaml = ConfigurationDocuments.write(configuration);
    assertThat(ConfigurationDocuments.read(document(yaml))).isEqualTo(configuration);
    String json = MessageCodec.jsonMapper().writeValueAsString(configuration);
    assertThat(ConfigurationDocuments.read(document(json))).isEqualTo(configuration);
  }

  @Test
  void readsARequest() throws DocumentException {
    String request =
        "commandId: c-1\nexpectedVersion: 3\noperator: ana\nconfiguration:\n" + MINIMAL.indent(2);
    assertThat(ConfigurationDocuments.readRequest(document(request)))
        .isEqualTo(
            new ConfigurationRequest(
                new CommandId("c-1"),
                new ApplyConfiguration(3, SampleConfigurations.withQueueLimit(40), "ana")));
  }

  @Test
  void reportsEveryProblemWithItsLine() {
    String text =
        MINIMAL
            .replace("queueLimit: 40", "queueLimit: many, queuelimit: 4")
            .replace("role: SERVING, ", "")
            .replace("deployment: derwent", "deployment: 7");
    assertThat(problemsOf(text).split("\n"))
        .asList()
        .containsExactly(
            "test:1: deployment: found 7; expected a text",
            "test:3: services.hobart-desk.queueLimit: found \"many\"; expected a whole number",
            "test:3: services.hobart-desk.queuelimit: found an unknown key; expected one of"
                + " availabilityBudget, connectionsPerEndpoint, deadlineMilliseconds,"
                + " longWorkSlotShare, name, pool, queueLimit, retryBudgetShare,"
                + " shortWorkMilliseconds, slotsPerEndpoint, workClass",
            "test:5: pools.hobart-desk.role: found nothing; expected one of SERVING, SPARE");
  }

  @Test
  void reportsAnInvalidSettingWithItsLine() {
    assertThat(problemsOf(MINIMAL.replace("queueLimit: 40", "queueLimit: 0")))
        .isEqualTo(
            "test:3: services.hobart-desk.queueLimit: found 0; expected a whole number in"
                + " [1..1000000]");
  }

  /** A damaged document must give a valid configuration or problems, never another exception. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void readsOrRejectsDamagedDocuments(long seed) {
    Random random = new Random(seed);
    for (int round = 0; round < 300; round++) {
      StringBuilder text = new StringBuilder(MINIMAL);
      int position = random.nextInt(text.length());
      if (random.nextBoolean()) {
        text.delete(position, Math.min(text.length(), position + 1 + random.nextInt(20)));
      } else {
        text.insert(position, random.nextInt(3) == 0 ? "\n" : "9e999, ");
      }
      try {
        Configuration read = ConfigurationDocuments.read(document(text.toString()));
        assertThat(Configurations.check(read)).isEmpty();
      } catch (DocumentException refused) {
        assertThat(refused.problems()).isNotEmpty();
      }
    }
  }

  private static String problemsOf(String text) {
    return String.valueOf(
        assertThrows(DocumentException.class, () -> ConfigurationDocuments.read(document(text)))
            .getMessage());
  }

  private static Document document(String text) throws DocumentException {
    return DocumentReader.read("test", text.getBytes(UTF_8));
  }
}
