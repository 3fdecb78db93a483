package org.verbenawheel.scenarios;

import org.jspecify.annotations.Nullable;
import org.verbenawheel.load.CallerResult;

/** Last answer received in one scenario, shared by the steps that send and those that check. */
public final class LastAnswer {
  private volatile @Nullable CallerResult last;

  void set(CallerResult result) {
    last = result;
  }

  CallerResult get() {
    CallerResult present = last;
    if (present == null) {
      throw new IllegalStateException("no request was answered yet in this scenario");
    }
    return present;
  }
}
