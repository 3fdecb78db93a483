package org.verbenawheel.fleet;

import org.verbenawheel.configuration.ServiceSettings;

/**
 * Fluid model of one service's demand and queue, in steps of one second: bursts of five times the
 * mean demand for some seconds, a twentieth of the mean between them.
 */
final class ServiceTrace {
  static final int CYCLE_SECONDS = 26;
  static final int BURST_SECONDS = 5;
  private static final double BURST_FACTOR = 5;
  private static final double BETWEEN_FACTOR = 0.05;
  private static final double MILLISECONDS_PER_SECOND = 1_000;

  private final ServiceSettings settings;
  private final double meanSlots;
  private final int offsetSeconds;
  private double queueSlotSeconds;
  private double offered;
  private double unanswered;

  ServiceTrace(ServiceSettings settings, double meanSlots, int offsetSeconds) {
    this.settings = settings;
    this.meanSlots = meanSlots;
    this.offsetSeconds = offsetSeconds;
  }

  ServiceSettings settings() {
    return settings;
  }

  double queueSlotSeconds() {
    return queueSlotSeconds;
  }

  double offeredTotal() {
    return offered;
  }

  double unansweredTotal() {
    return unanswered;
  }

  double offeredAt(long second) {
    boolean burst = (second + offsetSeconds) % CYCLE_SECONDS < BURST_SECONDS;
    return meanSlots * (burst ? BURST_FACTOR : BETWEEN_FACTOR);
  }

  /**
   * Advances the queue by one second at the given capacity and returns the work, in slot-seconds,
   * refused in it because it would have waited longer than the deadline.
   */
  double advance(long second, double capacitySlots) {
    double arrived = offeredAt(second);
    double longestQueue = capacitySlots * settings.deadlineMilliseconds() / MILLISECONDS_PER_SECOND;
    double waiting = Math.max(0, queueSlotSeconds + arrived - capacitySlots);
    double refused = Math.max(0, waiting - longestQueue);
    queueSlotSeconds = waiting - refused;
    offered += arrived;
    unanswered += refused;
    return refused;
  }
}
