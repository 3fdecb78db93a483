package org.verbenawheel.execution;

import static com.google.common.truth.Truth.assertThat;

import java.time.Instant;
import org.junit.jupiter.api.Test;

/** Tests {@link RoundPacer}. */
final class RoundPacerTest {
  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

  private final RoundPacer pacer = new RoundPacer();

  // Back-to-back long rounds leave the state thread no time to answer callers.
  @Test
  void longRoundsTakeAtMostAThirdOfTheTime() {
    pacer.onRound(START, START.plusMillis(100));

    assertThat(pacer.isDue(START.plusMillis(299))).isFalse();
    assertThat(pacer.isDue(START.plusMillis(300))).isTrue();
  }

  @Test
  void shortRoundDelaysTheNextOneByNothing() {
    pacer.onRound(START, START.plusMillis(1));

    assertThat(pacer.isDue(START.plusMillis(1))).isTrue();
  }
}
