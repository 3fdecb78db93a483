package org.verbenawheel.scheduling;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.LongPredicate;

/**
 * Measures the rate at which accepted work has arrived at one pool for some seconds. A burst that
 * has just begun does not count: the rate is the lower one of two successive windows. Not
 * thread-safe.
 */
public final class ArrivingWork {
  private static final Duration WINDOW = Duration.ofSeconds(2);

  private final Deque<Arrival> arrivals = new ArrayDeque<>();

  /**
   * Records an accepted job.
   *
   * @param work its work by its estimates, in thousandths of a core times milliseconds
   */
  public void add(Instant now, long work) {
    arrivals.addLast(new Arrival(now, work));
    Instant oldest = now.minus(WINDOW.multipliedBy(2));
    while (arrivals.getFirst().at().isBefore(oldest)) {
      arrivals.removeFirst();
    }
  }

  /**
   * Returns the processor time that lasting arrivals need, in thousandths of a core.
   *
   * @param counts accepts the work of the jobs that count
   */
  long millicores(Instant now, LongPredicate counts) {
    Instant presentBegin = now.minus(WINDOW);
    Instant earlierBegin = presentBegin.minus(WINDOW);
    long present = 0;
    long earlier = 0;
    for (Arrival arrival : arrivals) {
      if (!counts.test(arrival.work()) || arrival.at().isBefore(earlierBegin)) {
        continue;
      }
      if (arrival.at().isBefore(presentBegin)) {
        earlier += arrival.work();
      } else {
        present += arrival.work();
      }
    }
    return Math.min(present, earlier) / WINDOW.toMillis();
  }

  private record Arrival(Instant at, long work) {}
}
