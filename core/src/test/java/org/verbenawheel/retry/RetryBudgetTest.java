package org.verbenawheel.retry;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class RetryBudgetTest {
  @Test
  void limitsRetriesToAShareOfFirstAttempts() {
    RetryBudget budget = new RetryBudget(0.1);
    int retries = 0;
    for (int attempt = 0; attempt < 1_000; attempt++) {
      budget.addFirstAttempt();
      retries += budget.tryTakeRetry() ? 1 : 0;
    }
    assertThat(retries).isAtMost(110);
    assertThat(retries).isAtLeast(100);
  }

  @Test
  void allowsNoRetryWithAShareOfZero() {
    assertThat(new RetryBudget(0).tryTakeRetry()).isFalse();
  }
}
