package org.verbenawheel.execution;

import static com.google.common.truth.Truth.assertThat;
import static org.verbenawheel.execution.FleetHarness.TIMINGS;

import java.time.Instant;
import org.junit.jupiter.api.Test;

final class WorkerClockTest {
  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

  private final WorkerClock clock = new WorkerClock(TIMINGS);

  @Test
  void delayedReadingIsIgnored() {
    clock.onReading(100_000, START);
    Instant later = START.plusSeconds(1);

    clock.onReading(100_500, later);

    assertThat(clock.grant(later)).hasValue(105_000L);
  }

  @Test
  void grantedLeaseExpiresByTheSlowestClock() {
    clock.onReading(100_000, START);
    Instant granted = START.plusSeconds(60);
    assertThat(clock.hasEveryLeaseExpired(granted)).isTrue();
    clock.onReading(160_000, granted);
    clock.grant(granted);

    assertThat(clock.hasEveryLeaseExpired(granted.plusMillis(4_250))).isFalse();
    assertThat(clock.hasEveryLeaseExpired(granted.plusMillis(4_300))).isTrue();
  }
}
