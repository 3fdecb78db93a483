package org.verbenawheel.logging;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class LineRateLimiterTest {
  private final LineRateLimiter rateLimiter = new LineRateLimiter(3);

  @Test
  void grantsUpToTheLimitWithinASecond() {
    assertThat(granted(10_000, 5)).isEqualTo(3);
  }

  @Test
  void resetsInTheNextSecond() {
    var unused = granted(10_999, 5);

    assertThat(granted(11_000, 5)).isEqualTo(3);
  }

  @Test
  void resetsWhenTheWallClockStepsBack() {
    var unused = granted(10_000, 5);

    assertThat(granted(8_000, 5)).isEqualTo(3);
  }

  private int granted(long nowMilliseconds, int attempts) {
    int granted = 0;
    for (int line = 0; line < attempts; line++) {
      granted += rateLimiter.tryAcquire(nowMilliseconds) ? 1 : 0;
    }
    return granted;
  }
}
