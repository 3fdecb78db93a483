package org.verbenawheel.routing;

import java.util.Comparator;
import org.verbenawheel.identity.RequestId;

/**
 * Identifies one attempt to serve a request.
 *
 * @param request the request
 * @param attempt the number of the attempt, from 1; 2 is the first retry
 */
public record AttemptKey(RequestId request, int attempt) implements Comparable<AttemptKey> {
  private static final Comparator<AttemptKey> ORDER =
      Comparator.comparing(AttemptKey::request).thenComparingInt(AttemptKey::attempt);

  /** Returns whether this attempt follows an earlier one of the same request. */
  public boolean isRetry() {
    return attempt > 1;
  }

  @Override
  public int compareTo(AttemptKey other) {
    return ORDER.compare(this, other);
  }
}
