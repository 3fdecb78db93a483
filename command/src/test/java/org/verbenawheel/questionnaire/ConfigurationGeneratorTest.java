package org.verbenawheel.questionnaire;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Random;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.verbenawheel.configuration.ConfigurationDocuments;
import org.verbenawheel.configuration.Configurations;
import org.verbenawheel.document.Document;
import org.verbenawheel.document.DocumentException;
import org.verbenawheel.document.DocumentReader;

final class ConfigurationGeneratorTest {
  private static final Path DEPLOYMENTS = Path.of("../deployments");
  private static final Path GOLDEN = Path.of("src/test/resources/questionnaire");

  @ParameterizedTest
  @ValueSource(strings = {"derwent", "entregafoto"})
  void generatesTheConfigurationOfADeployment(String deployment) throws Exception {
    GeneratedConfiguration generated = generate(answers(deployment));
    assertThat(Configurations.check(generated.configuration())).isEmpty();
    assertThat(ConfigurationDocuments.write(generated.configuration()))
        .isEqualTo(Files.readString(GOLDEN.resolve(deployment + ".yaml")));
    assertThat(generated.configuration().services()).hasSize(5);
  }

  @ParameterizedTest
  @ValueSource(strings = {"derwent", "entregafoto"})
  void givesAReasonForEachNumber(String deployment) throws Exception {
    for (DerivedNumber number : generate(answers(deployment)).numbers()) {
      assertThat(number.reason()).isNotEmpty();
    }
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "[tamar, derwent, midlands] | [tamar] | availabilityZones | spread the runners",
        "[tamar, derwent, midlands] | [tamar, tamar] | availabilityZones | name each zone once",
        "sparePool: members-hub | sparePool: nowhere | sparePool | no service is named nowhere",
        "requestsPerSecond: 100 | requestsPerSecond: 900 | unansweredShare | with one zone lost 6 of 9",
        "longestWaitMilliseconds: 3000 | longestWaitMilliseconds: 100 | longestWait | give 108 ms",
        "longWorkMilliseconds: 2000 | longWorkMilliseconds: 20 | longWork | runs shorter",
        "runnersAtLeast: 6 | runnersAtLeast: 10 | runnersAtLeast | more than runnersAtMost",
        "runnersAtLeast: 6 | runnersAtLeast: 2 | runnersAtLeast | one runner for each zone",
        "connectionsPerRunner: 64 | connectionsPerRunner: 4 | connectionsPerRunner | cannot fill",
      })
  void refusesContradictions(String good, String bad, String key, String reason)
      throws IOException {
    String contradictory = answers("derwent").replaceFirst(quote(good), bad);
    ContradictionException refused =
        assertThrows(ContradictionException.class, () -> generate(contradictory));
    assertThat(refused).hasMessageThat().contains(key);
    assertThat(refused).hasMessageThat().contains(reason);
  }

  @Test
  void acceptsADeadlineJustAboveTheRoundTripAndTheWork() throws Exception {
    String shortWait =
        answers("derwent")
            .replaceFirst("longestWaitMilliseconds: 3000", "longestWaitMilliseconds: 108");
    assertThat(generate(shortWait).configuration().services()).hasSize(5);
  }

  @Test
  void reportsEveryMissingAnswer() throws IOException {
    String incomplete = answers("derwent").replaceFirst("(?s)workClass.*?requests", "requests");
    DocumentException refused = assertThrows(DocumentException.class, () -> generate(incomplete));
    assertThat(refused.problems()).hasSize(4);
    assertThat(refused).hasMessageThat().contains("services.launceston-desk.workClass");
  }

  @Test
  void reportsEachInvalidNumberOnce() throws IOException {
    String wrong =
        answers("derwent")
            .replaceFirst("unansweredShare: 0.001", "unansweredShare: 1.5")
            .replaceFirst("peakSeconds: 5", "peakSeconds: long");
    DocumentException refused = assertThrows(DocumentException.class, () -> generate(wrong));
    assertThat(refused.problems()).hasSize(2);
  }

  /** Compares the number of runners with a search that simulates the loss of each zone. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void runnersNeededAgreesWithANaiveSearch(long seed) throws Exception {
    Random random = new Random(seed);
    ServiceAnswers base =
        AnswersReader.read(read(answers("derwent"))).services().values().asList().get(0);
    for (int round = 0; round < 200; round++) {
      int zones = 2 + random.nextInt(3);
      int least = zones + random.nextInt(3);
      ServiceAnswers service =
          new ServiceAnswers(
              base.name(),
              base.workClass(),
              base.runningTwice(),
              base.unansweredShare(),
              base.longestWaitMilliseconds(),
              random.nextInt(600),
              5,
              5,
              100,
              2000,
              0.01,
              least,
              least + random.nextInt(8),
              8,
              64);
      assertThat(new ZoneLoss(zones).runnersNeeded(service))
          .isEqualTo(naiveRunnersNeeded(service, zones));
    }
  }

  private static int naiveRunnersNeeded(ServiceAnswers service, int zones) {
    for (int runners = service.runnersAtLeast(); runners <= service.runnersAtMost(); runners++) {
      int[] inZone = new int[zones];
      for (int runner = 0; runner < runners; runner++) {
        inZone[runner % zones]++;
      }
      boolean sufficient = true;
      for (int lost : inZone) {
        double slots = (runners - lost) * service.slotsPerRunner() * ZoneLoss.TARGET_UTILIZATION;
        sufficient &= slots * 1000 / service.meanWorkMilliseconds() >= service.requestsPerSecond();
      }
      if (sufficient) {
        return runners;
      }
    }
    return service.runnersAtMost();
  }

  private static String quote(String text) {
    return Pattern.quote(text);
  }

  private static String answers(String deployment) throws IOException {
    return Files.readString(DEPLOYMENTS.resolve(deployment + ".yaml"));
  }

  private static Document read(String text) throws DocumentException {
    return DocumentReader.read("answers", text.getBytes(StandardCharsets.UTF_8));
  }

  private static GeneratedConfiguration generate(String text)
      throws DocumentException, ContradictionException {
    return ConfigurationGenerator.generate(AnswersReader.read(read(text)));
  }
}
