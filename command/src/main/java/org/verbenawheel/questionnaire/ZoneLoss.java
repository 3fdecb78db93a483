package org.verbenawheel.questionnaire;

/**
 * Calculates the capacity of a pool after the loss of one availability zone. Assumes that its
 * runners are spread evenly over the zones.
 */
final class ZoneLoss {
  /** The largest planned share of busy slots; a higher one would make requests wait long. */
  static final double TARGET_UTILIZATION = 0.8;

  private final int zones;

  ZoneLoss(int zones) {
    this.zones = zones;
  }

  /**
   * Returns the number of runners left after the loss of the zone with the most runners.
   *
   * @param runners the number of runners before the loss
   */
  int runnersLeft(int runners) {
    int lost = (runners + zones - 1) / zones;
    return runners - lost;
  }

  /**
   * Returns the share of requests that go unanswered while a zone is lost, at the mean load.
   *
   * @param service the load and slots of the service
   * @param runners the number of runners before the loss
   */
  double unansweredShare(ServiceAnswers service, int runners) {
    double demand = service.requestsPerSecond();
    double capacity = service.capacityPerSecond(runnersLeft(runners));
    return demand <= capacity ? 0 : 1 - capacity / demand;
  }

  /**
   * Returns the smallest number of runners, within the minimum and maximum of the service, that
   * answers the mean load at the target utilization after the loss of a zone. Returns the maximum
   * if no number is enough.
   *
   * @param service the load and slots of the service
   */
  int runnersNeeded(ServiceAnswers service) {
    for (int runners = service.runnersAtLeast(); runners < service.runnersAtMost(); runners++) {
      double planned = service.capacityPerSecond(runnersLeft(runners)) * TARGET_UTILIZATION;
      if (planned >= service.requestsPerSecond()) {
        return runners;
      }
    }
    return service.runnersAtMost();
  }
}
