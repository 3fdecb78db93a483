package org.verbenawheel.admission;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Estimates the run times of each route of one service, and classifies its work by them.
 *
 * <p>Declared run times are often wrong, so none are used. The number of routes is limited; the
 * least recently used one is evicted. Not thread-safe.
 */
public final class RunTimes {
  private static final int MAXIMUM_ROUTES = 1_024;
  private static final double LONG_ROUTE_SHARE = 0.5;
  private static final Duration MINIMUM_HOLD_AFTER_LOSS = Duration.ofSeconds(1);
  private static final float LOAD_FACTOR = 0.75f;

  private final RunTimeSketch shortRuns = new RunTimeSketch();
  private final RunTimeSketch longRuns = new RunTimeSketch();
  private final Map<String, RunTimeSketch> sketchByRoute =
      new LinkedHashMap<>(MAXIMUM_ROUTES, LOAD_FACTOR, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, RunTimeSketch> eldest) {
          return size() > MAXIMUM_ROUTES;
        }
      };

  /**
   * Records that a run has passed the limit for short work while it is still running.
   *
   * @param route the kind of work
   */
  public void addOverrun(String route) {
    sketchOf(route).addOverrun();
  }

  /**
   * Records a run that ended.
   *
   * @param route the kind of work
   * @param runTime how long it ran
   * @param length whether it ran past the limit for short work; a long run must also have been
   *     recorded by {@link #addOverrun}
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
   * Returns the class of a route's work; a route without recorded runs is short.
   *
   * @param route the kind of work
   */
  public WorkLength lengthOf(String route) {
    RunTimeSketch sketch = sketchByRoute.get(route);
    return sketch != null && sketch.longShare() >= LONG_ROUTE_SHARE
        ? WorkLength.LONG
        : WorkLength.SHORT;
  }

  /**
   * Returns a time within which most runs of a route end; zero if no run was recorded.
   *
   * @param route the kind of work
   */
  public Duration likelyLongestOf(String route) {
    RunTimeSketch sketch = sketchByRoute.get(route);
    return sketch == null ? Duration.ZERO : sketch.likelyLongest();
  }

  /**
   * Returns how long an endpoint may still run work of a route after contact with it or with the
   * entry that sent the work was lost: twice the longest run recorded, and at least one second.
   *
   * @param route the kind of work
   * @param whenUnknown the value to return if no run was recorded
   */
  public Duration holdAfterLoss(String route, Duration whenUnknown) {
    RunTimeSketch sketch = sketchByRoute.get(route);
    if (sketch == null || sketch.longest().isZero()) {
      return whenUnknown;
    }
    Duration twice = sketch.longest().multipliedBy(2);
    return twice.compareTo(MINIMUM_HOLD_AFTER_LOSS) > 0 ? twice : MINIMUM_HOLD_AFTER_LOSS;
  }

  /**
   * Returns the mean run time of all runs of a class; zero if none was recorded.
   *
   * @param length the class that the runs turned out to have
   */
  public Duration meanOf(WorkLength length) {
    return (length == WorkLength.LONG ? longRuns : shortRuns).mean();
  }

  private RunTimeSketch sketchOf(String route) {
    return sketchByRoute.computeIfAbsent(route, missing -> new RunTimeSketch());
  }
}
