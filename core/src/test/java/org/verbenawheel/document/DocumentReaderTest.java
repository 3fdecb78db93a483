package org.verbenawheel.document;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class DocumentReaderTest {
  private static final String SAMPLE =
      """
      process: entry-1
      entries: {entry-1: 127.0.0.1:7000, entry-2: "127.0.0.1:7001"}
      list:
        - 1
        - {a: b}
      number: 12
      """;

  @Test
  void readsYamlAndJson() throws DocumentException {
    assertThat(read(SAMPLE).root().path("number").intValue()).isEqualTo(12);
    assertThat(read(SAMPLE).lines()).containsEntry("entries.entry-2", 2);
    assertThat(read("{\"a\": {\"b\": 1}}").root().path("a").path("b").intValue()).isEqualTo(1);
  }

  @Test
  void refusesAliases() {
    String nestedAliases = "a: &a [1,1,1,1,1,1,1,1]\nb: &b [*a,*a,*a,*a]\nc: [*b,*b,*b,*b]\n";
    assertThat(problemOf(nestedAliases)).contains("found the alias *a; expected the value itself");
  }

  @Test
  void refusesDeepNesting() {
    assertThat(problemOf("a: " + "[".repeat(5_000))).contains("8 levels deep");
    assertThat(problemOf("{\"a\":" + "{\"a\":".repeat(5_000))).contains("8 levels deep");
  }

  @Test
  void refusesLargeDocuments() {
    assertThat(problemOf("a: " + "x".repeat(DocumentReader.MAXIMUM_DOCUMENT_BYTES)))
        .contains("at most 1048576 bytes");
    assertThat(problemOf("a: [" + "1,".repeat(60_000) + "1]")).contains("more than 50000 values");
    assertThat(problemOf("k".repeat(500) + ": 1")).contains("at most 128 characters");
  }

  @Test
  void refusesEverythingButASingleMap() {
    assertThat(problemOf("")).contains("found nothing; expected a map");
    assertThat(problemOf("- 1\n- 2\n")).contains("expected a map");
    assertThat(problemOf("a: 1\n---\na: 2\n")).contains("a second document");
    assertThat(problemOf("a: 1\nb: [\n")).contains("test:");
  }

  @Test
  void refusesDuplicateKeysAtAnyLevel() {
    assertThat(problemOf("a: {b: 1, b: 2}\n"))
        .contains("test:1: a.b: found the key a second time, after line 1");
  }

  /**
   * Replaces random bytes of a valid document. Guards against damaged input that throws anything
   * but a {@link DocumentException} with at least one problem.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void readsOrRefusesDamagedDocuments(long seed) {
    Random random = new Random(seed);
    int refused = 0;
    for (int round = 0; round < 400; round++) {
      byte[] bytes = damage(SAMPLE.getBytes(UTF_8), random);
      try {
        assertThat(DocumentReader.read("test", bytes).root().isObject()).isTrue();
      } catch (DocumentException exception) {
        assertThat(exception.problems()).isNotEmpty();
        assertThat(exception.problems().get(0).toString().length()).isLessThan(400);
        refused++;
      }
    }
    assertThat(refused).isGreaterThan(50);
  }

  private static byte[] damage(byte[] bytes, Random random) {
    byte[] damaged = bytes.clone();
    String alphabet = "{}[]:,-&*!|>'\"%@`#? \n\t\0\\x7f\u00e9";
    byte[] replacements = alphabet.getBytes(UTF_8);
    int changes = 1 + random.nextInt(4);
    for (int change = 0; change < changes; change++) {
      damaged[random.nextInt(damaged.length)] = replacements[random.nextInt(replacements.length)];
    }
    return damaged;
  }

  private static String problemOf(String text) {
    return String.valueOf(assertThrows(DocumentException.class, () -> read(text)).getMessage());
  }

  private static Document read(String text) throws DocumentException {
    return DocumentReader.read("test", text.getBytes(UTF_8));
  }
}
