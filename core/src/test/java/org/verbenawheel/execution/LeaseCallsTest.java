package org.verbenawheel.execution;

import static com.google.common.truth.Truth.assertThat;
import static org.verbenawheel.execution.FleetHarness.TIMINGS;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

final class LeaseCallsTest {
  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
  private static final Duration LONGEST_LEASE = Duration.ofMillis(6_330);

  private final LeaseCalls calls = new LeaseCalls(TIMINGS, START);

  @Test
  void callsOfEarlierLeadersCountUntilTheLeadershipBegan() {
    assertThat(calls.hasEveryLeaseExpired(START.plus(LONGEST_LEASE).minusMillis(20))).isFalse();
    assertThat(calls.hasEveryLeaseExpired(START.plus(LONGEST_LEASE))).isTrue();
  }

  @Test
  void callCountsFromItsEndAndNotBeforeIt() {
    calls.onSent();
    Instant ended = START.plusSeconds(60);
    assertThat(calls.hasEveryLeaseExpired(ended)).isFalse();

    calls.onEnded(ended);

    assertThat(calls.hasEveryLeaseExpired(ended.plus(LONGEST_LEASE).minusMillis(20))).isFalse();
    assertThat(calls.hasEveryLeaseExpired(ended.plus(LONGEST_LEASE))).isTrue();
  }
}
