package org.verbenawheel.questionnaire;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.verbenawheel.configuration.Configurations;
import org.verbenawheel.document.DocumentException;
import org.verbenawheel.document.DocumentReader;

/**
 * Replaces random pieces of a valid answers file. Guards against a damaged file that makes the
 * reader fail with another exception, or gives an invalid configuration.
 */
final class AnswersDamageTest {
  private static final String[] REPLACEMENTS = {
    "0", "-5", "9e300", "1e-300", ".nan", ".inf", "[", "{a: ", "*x", "&x ", "\n", "  ", ":", "zone"
  };

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void damagedAnswersAreRefusedOrGiveAValidConfiguration(long seed) throws Exception {
    String valid = Files.readString(Path.of("../deployments/entregafoto.yaml"));
    Random random = new Random(seed);
    int refused = 0;
    for (int round = 0; round < 150; round++) {
      StringBuilder text = new StringBuilder(valid);
      int start = random.nextInt(text.length() - 8);
      text.replace(
          start, start + random.nextInt(8), REPLACEMENTS[random.nextInt(REPLACEMENTS.length)]);
      try {
        GeneratedConfiguration generated =
            ConfigurationGenerator.generate(
                AnswersReader.read(
                    DocumentReader.read(
                        "answers", text.toString().getBytes(StandardCharsets.UTF_8))));
        assertThat(Configurations.check(generated.configuration())).isEmpty();
      } catch (DocumentException invalid) {
        assertThat(invalid.problems()).isNotEmpty();
        refused++;
      } catch (ContradictionException contradictory) {
        assertThat(contradictory.contradictions()).isNotEmpty();
        refused++;
      }
    }
    assertThat(refused).isGreaterThan(20);
  }
}
