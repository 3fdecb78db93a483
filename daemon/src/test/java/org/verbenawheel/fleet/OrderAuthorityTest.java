package org.verbenawheel.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.time.Instant;
import org.junit.jupiter.api.Test;

/** Tests {@link OrderAuthority}. */
final class OrderAuthorityTest {
  private Instant monotonic = Instant.parse("2026-01-01T00:00:00Z");
  private long wallMilliseconds = 1_000_000;
  private final OrderAuthority authority =
      new OrderAuthority(() -> monotonic, () -> wallMilliseconds);

  @Test
  void noOrderLeavesBeforeLeadershipIsConfirmed() {
    assertThat(authority.isValid()).isFalse();
  }

  @Test
  void ordersLeaveShortlyAfterAConfirmation() {
    authority.confirm();
    advance(600);

    assertThat(authority.isValid()).isTrue();
  }

  // A frozen leader's order left when it resumed, between two orders of the new leader.
  @Test
  void noOrderLeavesAfterASuspensionInWhichOnlyTheWallClockAdvanced() {
    authority.confirm();
    wallMilliseconds += 1_000;

    assertThat(authority.isValid()).isFalse();
  }

  @Test
  void wallClockThatIsSetBackDoesNotExtendTheAuthority() {
    authority.confirm();
    wallMilliseconds -= 2_000;

    assertThat(authority.isValid()).isFalse();
  }

  @Test
  void noOrderLeavesAfterTheLossOfLeadership() {
    authority.confirm();
    authority.revoke();

    assertThat(authority.isValid()).isFalse();
  }

  @Test
  void authorityEndsWithoutFurtherConfirmations() {
    authority.confirm();
    advance(700);

    assertThat(authority.isValid()).isFalse();
  }

  private void advance(long milliseconds) {
    monotonic = monotonic.plusMillis(milliseconds);
    wallMilliseconds += milliseconds;
  }
}
