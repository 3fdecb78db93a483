package org.verbenawheel.scenarios;

import org.jspecify.annotations.Nullable;
import org.verbenawheel.load.CallerResult;

/** Holds the last answer of one scenario, for the steps that look at it. */
public final class LastAnswer {
  private volatile @Nullable CallerResult last;

  void set(CallerResult result) {
    last = result;
  }

  CallerResult get() {
    CallerResult present = last;
    if (present == null) {
      throw new IllegalStateException("nothing was asked yet");
    }
    return present;
  }
}
