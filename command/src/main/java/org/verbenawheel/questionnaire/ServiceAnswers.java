package org.verbenawheel.questionnaire;

import org.verbenawheel.configuration.WorkClass;
import org.verbenawheel.identity.ServiceName;

/**
 * A team's answers about one service.
 *
 * @param name the service; its pool has the same name
 * @param workClass whether a person waits for the answer
 * @param runningTwice the effect of running the same request twice
 * @param unansweredShare the largest permitted share of requests without an answer
 * @param longestWaitMilliseconds the longest time that a caller waits
 * @param requestsPerSecond the mean load
 * @param peakFactor the load of a peak as a multiple of the mean
 * @param peakSeconds the duration of a peak
 * @param usualWorkMilliseconds how long the usual request runs
 * @param longWorkMilliseconds how long a long request runs
 * @param longWorkShare the share of requests that are long
 * @param runnersAtLeast the minimum number of runners
 * @param runnersAtMost the maximum number of runners
 * @param slotsPerRunner the number of requests that a runner runs concurrently
 * @param connectionsPerRunner the number of connections that a runner accepts
 */
public record ServiceAnswers(
    ServiceName name,
    WorkClass workClass,
    RunningTwice runningTwice,
    double unansweredShare,
    long longestWaitMilliseconds,
    double requestsPerSecond,
    double peakFactor,
    double peakSeconds,
    double usualWorkMilliseconds,
    double longWorkMilliseconds,
    double longWorkShare,
    int runnersAtLeast,
    int runnersAtMost,
    int slotsPerRunner,
    int connectionsPerRunner) {
  private static final double MILLISECONDS_PER_SECOND = 1_000;

  /** Returns the mean time that a request holds a slot. */
  double meanWorkMilliseconds() {
    return longWorkShare * longWorkMilliseconds + (1 - longWorkShare) * usualWorkMilliseconds;
  }

  /**
   * Returns the number of requests a second that the runners can answer with every slot busy.
   *
   * @param runners the number of runners
   */
  double capacityPerSecond(int runners) {
    return runners * slotsPerRunner * MILLISECONDS_PER_SECOND / meanWorkMilliseconds();
  }

  /** Returns the share of slot time that long requests use. */
  double longWorkLoadShare() {
    return longWorkShare * longWorkMilliseconds / meanWorkMilliseconds();
  }

  /**
   * Returns the number of requests that arrive in one peak beyond what the runners can answer
   * during it.
   *
   * @param runners the number of runners
   */
  double peakSurplus(int runners) {
    double surplusPerSecond = peakFactor * requestsPerSecond - capacityPerSecond(runners);
    return Math.max(0, surplusPerSecond * peakSeconds);
  }
}
