package org.verbenawheel.questionnaire;

import org.verbenawheel.configuration.WorkClass;
import org.verbenawheel.identity.ServiceName;

/**
 * What a team says of one service.
 *
 * @param name the service; its pool has the same name
 * @param workClass whether a person waits for the answer
 * @param runningTwice what running the same request twice would do
 * @param unansweredShare the share of requests that may go unanswered
 * @param longestWaitMilliseconds how long a caller waits at most
 * @param requestsPerSecond the mean of requests
 * @param peakFactor how many times the mean a peak asks for
 * @param peakSeconds how long a peak lasts
 * @param usualWorkMilliseconds how long the usual request runs
 * @param longWorkMilliseconds how long a long request runs
 * @param longWorkShare the share of requests that are long
 * @param runnersAtLeast how many runners the service has at least
 * @param runnersAtMost how many runners it has at most
 * @param slotsPerRunner how many requests a runner runs at once
 * @param connectionsPerRunner how many connections a runner takes
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

  /** Returns how long a request holds a slot on average. */
  double meanWorkMilliseconds() {
    return longWorkShare * longWorkMilliseconds + (1 - longWorkShare) * usualWorkMilliseconds;
  }

  /**
   * Returns how many requests a second a number of runners answers with every slot busy.
   *
   * @param runners how many runners
   */
  double capacityPerSecond(int runners) {
    return runners * slotsPerRunner * MILLISECONDS_PER_SECOND / meanWorkMilliseconds();
  }

  /** Returns the share of slot time that long requests ask for. */
  double longWorkLoadShare() {
    return longWorkShare * longWorkMilliseconds / meanWorkMilliseconds();
  }

  /**
   * Returns how many requests of one peak come in beyond what a number of runners answers in it.
   *
   * @param runners how many runners
   */
  double peakSurplus(int runners) {
    double surplusPerSecond = peakFactor * requestsPerSecond - capacityPerSecond(runners);
    return Math.max(0, surplusPerSecond * peakSeconds);
  }
}
