package org.verbenawheel.request;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class RunVerdictTest {
  @Test
  void nonIdempotentRequestsAreResentOnlyIfNotRun() {
    assertThat(RunVerdict.NOT_RUN.mayBeSentAgain(Idempotence.NON_IDEMPOTENT)).isTrue();
    assertThat(RunVerdict.MAY_HAVE_RUN.mayBeSentAgain(Idempotence.NON_IDEMPOTENT)).isFalse();
    assertThat(RunVerdict.RAN.mayBeSentAgain(Idempotence.NON_IDEMPOTENT)).isFalse();
  }

  @Test
  void idempotentRequestsAreResentUnlessTheyRan() {
    assertThat(RunVerdict.NOT_RUN.mayBeSentAgain(Idempotence.IDEMPOTENT)).isTrue();
    assertThat(RunVerdict.MAY_HAVE_RUN.mayBeSentAgain(Idempotence.IDEMPOTENT)).isTrue();
    assertThat(RunVerdict.RAN.mayBeSentAgain(Idempotence.IDEMPOTENT)).isFalse();
  }

  @Test
  void combiningKeepsTheStrongerVerdict() {
    assertThat(RunVerdict.NOT_RUN.combine(RunVerdict.NOT_RUN)).isEqualTo(RunVerdict.NOT_RUN);
    assertThat(RunVerdict.NOT_RUN.combine(RunVerdict.MAY_HAVE_RUN))
        .isEqualTo(RunVerdict.MAY_HAVE_RUN);
    assertThat(RunVerdict.MAY_HAVE_RUN.combine(RunVerdict.NOT_RUN))
        .isEqualTo(RunVerdict.MAY_HAVE_RUN);
    assertThat(RunVerdict.MAY_HAVE_RUN.combine(RunVerdict.RAN)).isEqualTo(RunVerdict.RAN);
  }
}
