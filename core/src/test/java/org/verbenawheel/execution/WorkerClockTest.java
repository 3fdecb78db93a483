package org.verbenawheel.execution;

import static com.google.common.truth.Truth.assertThat;
import static org.verbenawheel.execution.FleetHarness.TIMINGS;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

final class WorkerClockTest {
  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
  private static final Duration LONGEST_LEASE = Duration.ofMillis(6_330);

  private final WorkerClock clock = new WorkerClock(TIMINGS);

  @Test
  void delayedReadingIsIgnoredAndDoesNotNameAnotherIncarnation() {
    clock.onReading(100_000, START);
    Instant later = START.plusSeconds(1);

    clock.onReading(100_500, later);

    assertThat(clock.grant(later)).hasValue(105_000L);
    assertThat(clock.isOfAnotherIncarnation(100_500, later)).isFalse();
    assertThat(clock.isOfAnotherIncarnation(98_900, later)).isTrue();
  }

  @Test
  void grantedLeaseExpiresByTheSlowestClockOnceEarlierLeasesHaveExpired() {
    clock.onReading(100_000, START);
    clock.onFenced(START);
    Instant granted = START.plusSeconds(60);
    assertThat(clock.hasEveryLeaseExpired(granted)).isTrue();
    clock.onReading(160_000, granted);
    clock.grant(granted);

    assertThat(clock.hasEveryLeaseExpired(granted.plusMillis(4_250))).isFalse();
    assertThat(clock.hasEveryLeaseExpired(granted.plusMillis(4_300))).isTrue();
  }

  // TWICE: the incarnation may have taken a call that was meant for an earlier one until it
  // confirmed a fencing token, and holds the longest lease since then.
  @Test
  void leasesReceivedBeforeTheFirstConfirmedTokenCountInFull() {
    clock.onReading(100_000, START);
    assertThat(clock.hasEveryLeaseExpired(START.plusSeconds(60))).isFalse();

    clock.onFenced(START);

    assertThat(clock.hasEveryLeaseExpired(START.plus(LONGEST_LEASE).minusMillis(20))).isFalse();
    assertThat(clock.hasEveryLeaseExpired(START.plus(LONGEST_LEASE))).isTrue();
  }
}
