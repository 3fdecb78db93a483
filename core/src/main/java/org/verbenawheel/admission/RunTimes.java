package org.verbenawheel.admission;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Learns the run times of each route of one service, and from them the class of its work.
 *
 * <p>Declared run times are often wrong, so none are read. Routes are bounded in number: the one
 * unused for longest is forgotten. Not safe for use by many threads.
 */
public final class RunTimes {
  private static final int MAXIMUM_ROUTES = 1_024;
  private static final double LONG_ROUTE_SHARE = 0.5;
  private static final Duration SHORTEST_HOLD_AFTER_LOSS = Duration.ofSeconds(1);
  private static final float LOAD_FACTOR = 0.75f;

  private final RunTimeSketch shortRuns = new RunTimeSketch();
  private final RunTimeSketch longRuns = new RunTimeSketch();
  private final Map<String, RunTimeSketch> sketches =
      new LinkedHashMap<>(MAXIMUM_ROUTES, LOAD_FACTOR, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, RunTimeSketch> eldest) {
          return size() > MAXIMUM_ROUTES;
        }
      };

  /**
   * Adds a run that has passed the limit for short work, and has not ended yet.
   *
   * @param route the kind of work
   */
  public void addOverrun(String route) {
    sketchOf(route).addOverrun();
  }

  /**
   * Adds a run that ended.
   *
   * @param route the kind of work
   * @param runTime how long it ran
   * @param length whether it ran past the limit for short work, which {@link #addOverrun} told
   */
  public void add(String route, Duration runTime, WorkLength length) {
    sketchOf(route).addRunTime(runTime);
    if (length == WorkLength.SHORT) {
      sketchOf(route).addWithinLimit();
      shortRuns.addRunTime(runTime);
    } else {
      longRuns.addRunTime(runTime);
    }
  }

  /**
   * Returns the class of a route's work; unknown routes start as short.
   *
   * @param route the kind of work
   */
  public WorkLength lengthOf(String route) {
    RunTimeSketch sketch = sketches.get(route);
    return sketch != null && sketch.longShare() >= LONG_ROUTE_SHARE
        ? WorkLength.LONG
        : WorkLength.SHORT;
  }

  /**
   * Returns a time within which most runs of a route end; zero if unknown.
   *
   * @param route the kind of work
   */
  public Duration likelyLongestOf(String route) {
    RunTimeSketch sketch = sketches.get(route);
    return sketch == null ? Duration.ZERO : sketch.likelyLongest();
  }

  /**
   * Returns how long after the last word an endpoint may still run work of a route: twice the
   * longest run known, and at least a second.
   *
   * @param route the kind of work
   * @param whenUnknown what to return if no run is known
   */
  public Duration holdAfterLoss(String route, Duration whenUnknown) {
    RunTimeSketch sketch = sketches.get(route);
    if (sketch == null || sketch.longest().isZero()) {
      return whenUnknown;
    }
    Duration twice = sketch.longest().multipliedBy(2);
    return twice.compareTo(SHORTEST_HOLD_AFTER_LOSS) > 0 ? twice : SHORTEST_HOLD_AFTER_LOSS;
  }

  /**
   * Returns the mean run time over all runs of a class; zero if unknown.
   *
   * @param length the class that the runs proved to be of
   */
  public Duration meanOf(WorkLength length) {
    return (length == WorkLength.LONG ? longRuns : shortRuns).mean();
  }

  private RunTimeSketch sketchOf(String route) {
    return sketches.computeIfAbsent(route, unknown -> new RunTimeSketch());
  }
}
