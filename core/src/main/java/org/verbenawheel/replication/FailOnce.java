package org.verbenawheel.replication;

import java.util.concurrent.atomic.AtomicBoolean;
import org.verbenawheel.supervision.FailureListener;
import org.verbenawheel.supervision.PartFailedException;

/** Reports the first failure of a running replica to its supervisor, and no other. */
final class FailOnce {
  private final FailureListener failures;
  private final AtomicBoolean failed = new AtomicBoolean();

  FailOnce(FailureListener failures) {
    this.failures = failures;
  }

  /** Takes a failure. */
  void onFailure(Throwable cause) {
    if (failed.compareAndSet(false, true)) {
      failures.onFailure(
          new PartFailedException("replica cannot go on: " + cause.getMessage(), cause));
    }
  }
}
