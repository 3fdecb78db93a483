package org.verbenawheel.questionnaire;

/**
 * Works out what a pool can still answer when one availability zone is lost, its runners being
 * spread evenly over the zones.
 */
final class ZoneLoss {
  /** Slots are planned to be this busy at most, so that waiting stays short. */
  static final double TARGET_UTILISATION = 0.8;

  private final int zones;

  ZoneLoss(int zones) {
    this.zones = zones;
  }

  /**
   * Returns how many runners are left when the zone with the most of them is lost.
   *
   * @param runners how many there are
   */
  int runnersLeft(int runners) {
    int lost = (runners + zones - 1) / zones;
    return runners - lost;
  }

  /**
   * Returns the share of requests that go unanswered while a zone is lost, at the mean load.
   *
   * @param service what the service is asked for
   * @param runners how many runners it has before the loss
   */
  double unansweredShare(ServiceAnswers service, int runners) {
    double demand = service.requestsPerSecond();
    double capacity = service.capacityPerSecond(runnersLeft(runners));
    return demand <= capacity ? 0 : 1 - capacity / demand;
  }

  /**
   * Returns the smallest number of runners that answers the mean load at the target utilisation
   * with a zone lost, from the least to the most that the service may have; the most if even that
   * is not enough.
   *
   * @param service what the service is asked for
   */
  int runnersNeeded(ServiceAnswers service) {
    for (int runners = service.runnersAtLeast(); runners < service.runnersAtMost(); runners++) {
      double planned = service.capacityPerSecond(runnersLeft(runners)) * TARGET_UTILISATION;
      if (planned >= service.requestsPerSecond()) {
        return runners;
      }
    }
    return service.runnersAtMost();
  }
}
