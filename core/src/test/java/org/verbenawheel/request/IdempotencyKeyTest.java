package org.verbenawheel.request;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class IdempotencyKeyTest {
  @Test
  void containsItsCreationTime() throws MalformedKeyException {
    Instant madeAt = Instant.parse("2026-12-04T08:00:00.123Z");
    IdempotencyKey key = IdempotencyKey.create(madeAt, 0x0123_4567_89ab_cdefL);
    assertThat(key.createdAt()).isEqualTo(madeAt);
    assertThat(IdempotencyKey.parse(key.value())).isEqualTo(key);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "order-17",
        "9f1c2a34-8b7d-4c21-9a3e-0123456789ab",
        "0193A2B4-0000-7000-8000-000000000000",
        "0193a2b4-0000-7000-8000-000000000000 "
      })
  void refusesTextThatIsNotACanonicalVersion7Uuid(String text) {
    MalformedKeyException refused =
        assertThrows(MalformedKeyException.class, () -> IdempotencyKey.parse(text));
    assertThat(refused).hasMessageThat().contains("UUID of version 7");
  }
}
