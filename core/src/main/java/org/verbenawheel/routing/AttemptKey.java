package org.verbenawheel.routing;

import java.util.Comparator;
import org.verbenawheel.identity.RequestId;

/**
 * Identifies one attempt at one request.
 *
 * @param request the request
 * @param attempt 1 for the first attempt, 2 for the first retry
 */
public record AttemptKey(RequestId request, int attempt) implements Comparable<AttemptKey> {
  private static final Comparator<AttemptKey> ORDER =
      Comparator.comparing(AttemptKey::request).thenComparingInt(AttemptKey::attempt);

  /** Returns whether this attempt follows an earlier one at the same request. */
  public boolean isRetry() {
    return attempt > 1;
  }

  @Override
  public int compareTo(AttemptKey other) {
    return ORDER.compare(this, other);
  }
}
