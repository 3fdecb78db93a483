package org.verbenawheel.replication;

import java.util.concurrent.atomic.AtomicBoolean;
import org.verbenawheel.supervision.FailureListener;
import org.verbenawheel.supervision.PartFailedException;

/**
 * Reports the first failure of a running replica to its supervisor and drops later ones.
 * Thread-safe.
 */
final class FirstFailureReporter {
  private final FailureListener listener;
  private final AtomicBoolean failed = new AtomicBoolean();

  FirstFailureReporter(FailureListener listener) {
    this.listener = listener;
  }

  void onFailure(Throwable cause) {
    if (failed.compareAndSet(false, true)) {
      listener.onFailure(
          new PartFailedException("replica cannot continue: " + cause.getMessage(), cause));
    }
  }
}
