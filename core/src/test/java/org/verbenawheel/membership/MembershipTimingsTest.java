package org.verbenawheel.membership;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import org.junit.jupiter.api.Test;

final class MembershipTimingsTest {
  private static final MembershipTimings TIMINGS = MembershipTimings.DEFAULT;

  @Test
  void leaseTrustTimeoutAndTickStayBelowTheBound() {
    assertThat(TIMINGS.worstCaseLeave())
        .isEqualTo(TIMINGS.lease().plus(TIMINGS.trustTimeout()).plus(TIMINGS.tickInterval()));
    assertThat(TIMINGS.worstCaseLeave()).isLessThan(Duration.ofSeconds(3));
  }

  @Test
  void refusesTimingsThatExceedTheLeaveBound() {
    IllegalArgumentException refused =
        assertThrows(
            IllegalArgumentException.class,
            () -> timings(TIMINGS.lease().plusMillis(50), TIMINGS.trustTimeout()));
    assertThat(refused).hasMessageThat().contains("must stay below PT3S but are PT3S");
  }

  @Test
  void refusesTimingsThatDropLiveEndpointsDuringAMove() {
    IllegalArgumentException refused =
        assertThrows(
            IllegalArgumentException.class, () -> timings(TIMINGS.lease(), Duration.ofSeconds(1)));
    assertThat(refused).hasMessageThat().contains("trustTimeout must exceed the");
  }

  @Test
  void endpointsHaveTimeForOneFailedAttempt() {
    assertThat(TIMINGS.maximumEndpointWait()).isAtLeast(Duration.ofMillis(300));
  }

  private static MembershipTimings timings(Duration lease, Duration trustTimeout) {
    return new MembershipTimings(
        lease,
        trustTimeout,
        TIMINGS.heartbeatInterval(),
        TIMINGS.tickInterval(),
        TIMINGS.forwardTimeout());
  }
}
