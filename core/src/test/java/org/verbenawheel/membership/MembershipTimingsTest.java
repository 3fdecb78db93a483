package org.verbenawheel.membership;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import org.junit.jupiter.api.Test;

final class MembershipTimingsTest {
  private static final MembershipTimings TIMINGS = MembershipTimings.DEFAULT;

  @Test
  void leaseVouchAndTickStayBelowTheBound() {
    assertThat(TIMINGS.worstLeave())
        .isEqualTo(TIMINGS.lease().plus(TIMINGS.vouch()).plus(TIMINGS.tick()));
    assertThat(TIMINGS.worstLeave()).isLessThan(Duration.ofSeconds(3));
  }

  @Test
  void refusesTimingsThatBreakTheBound() {
    IllegalArgumentException refused =
        assertThrows(
            IllegalArgumentException.class,
            () -> timings(TIMINGS.lease().plusMillis(50), TIMINGS.vouch()));
    assertThat(refused).hasMessageThat().contains("must stay below PT3S but are PT3S");
  }

  @Test
  void refusesTimingsThatLoseLiveEndpoints() {
    IllegalArgumentException refused =
        assertThrows(
            IllegalArgumentException.class, () -> timings(TIMINGS.lease(), Duration.ofSeconds(1)));
    assertThat(refused).hasMessageThat().contains("vouch must be longer");
  }

  @Test
  void endpointsHaveTimeForOneAttemptThatFails() {
    assertThat(TIMINGS.endpointPatience()).isAtLeast(Duration.ofMillis(300));
  }

  private static MembershipTimings timings(Duration lease, Duration vouch) {
    return new MembershipTimings(
        lease, vouch, TIMINGS.heartbeat(), TIMINGS.tick(), TIMINGS.forward());
  }
}
