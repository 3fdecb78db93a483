package org.verbenawheel.replication;

import static com.google.common.truth.Truth.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;

final class PayloadTest {
  private static final int LENGTH = 100_000;

  @Test
  void compressedPayloadEqualsTheOriginalAndTakesLessMemory() {
    Payload original = Payload.of(new byte[LENGTH]);
    Payload compressed = original.compressed();

    assertThat(compressed).isEqualTo(original);
    assertThat(compressed.hashCode()).isEqualTo(original.hashCode());
    assertThat(compressed.length()).isEqualTo(LENGTH);
    assertThat(compressed.storedLength()).isLessThan(LENGTH / 10);
    assertThat(compressed.compressed().bytes()).isEqualTo(original.bytes());
  }

  @Test
  void payloadThatCannotBeCompressedStaysAsItIs() {
    byte[] random = new byte[LENGTH];
    new Random(1).nextBytes(random);
    Payload payload = Payload.of(random);

    assertThat(payload.compressed()).isSameInstanceAs(payload);
    assertThat(Payload.EMPTY.compressed()).isSameInstanceAs(Payload.EMPTY);
  }
}
