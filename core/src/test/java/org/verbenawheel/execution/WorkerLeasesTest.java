package org.verbenawheel.execution;

import static com.google.common.truth.Truth.assertThat;
import static org.verbenawheel.execution.FleetHarness.TIMINGS;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

/** Tests when the leases of a worker have expired that others than the present session granted. */
final class WorkerLeasesTest {
  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
  private static final Duration LONGEST_LEASE = Duration.ofMillis(6_330);

  private final WorkerLeases leases = new WorkerLeases(TIMINGS, START);

  // TWICE: a worker that the new leader cannot reach may hold a lease of an earlier leader.
  @Test
  void leasesOfEarlierLeadersCountInFullFromTheBeginOfTheLeadership() {
    assertThat(leases.haveAllExpired(START.plus(LONGEST_LEASE).minusMillis(20))).isFalse();
    assertThat(leases.haveAllExpired(START.plus(LONGEST_LEASE))).isTrue();
  }

  // TWICE: the report of a new incarnation does not prove that the earlier one has ended.
  @Test
  void leasesOfAnEarlierIncarnationCountInFullFromTheFirstSignOfTheNext() {
    Instant restart = START.plusSeconds(60);
    leases.onReading(60_000, restart);
    leases.grant(restart);

    leases.onNewIncarnation(restart);

    assertThat(leases.haveAllExpired(restart.plus(LONGEST_LEASE).minusMillis(20))).isFalse();
    assertThat(leases.haveAllExpired(restart.plus(LONGEST_LEASE))).isTrue();
  }

  @Test
  void leaseOfTheKnownIncarnationExpiresByItsClock() {
    Instant granted = START.plusSeconds(60);
    leases.onReading(100_000, granted);
    leases.grant(granted);

    assertThat(leases.haveAllExpired(granted.plusMillis(4_250))).isFalse();
    assertThat(leases.haveAllExpired(granted.plusMillis(4_300))).isTrue();
  }
}
