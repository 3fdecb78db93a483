package org.verbenawheel.capacity;

import org.verbenawheel.configuration.ServiceSettings;

/**
 * Computes how many hosts a service needs if its queue absorbs the bursts.
 *
 * <p>A burst of P slots for L seconds, at a capacity of c slots, leaves (P - c) L slot-seconds in
 * the queue. The last request waits (P - c) L / c seconds, which must not exceed the wait W that
 * the deadline allows: c is at least P L / (L + W).
 */
public final class HostNeed {
  /** The share of the deadline that a request may spend in the queue. */
  public static final double QUEUE_SHARE_OF_DEADLINE = 0.8;

  /** The largest share of slots that the mean demand may fill. */
  public static final double MAXIMUM_MEAN_UTILISATION = 0.8;

  private static final double MILLISECONDS_PER_SECOND = 1_000.0;

  private HostNeed() {}

  /**
   * Returns how many hosts the service needs, at least 1.
   *
   * @param settings the deadline of the service and its slots per endpoint
   * @param demand the demand for the service
   */
  public static int hosts(ServiceSettings settings, ServiceDemand demand) {
    double slots = Math.max(slotsForBursts(settings, demand), slotsForMean(demand));
    return Math.max(1, (int) Math.ceil(slots / settings.slotsPerEndpoint()));
  }

  private static double slotsForBursts(ServiceSettings settings, ServiceDemand demand) {
    double wait =
        settings.deadlineMilliseconds() / MILLISECONDS_PER_SECOND * QUEUE_SHARE_OF_DEADLINE;
    return demand.peakSlots() * demand.peakSeconds() / (demand.peakSeconds() + wait);
  }

  private static double slotsForMean(ServiceDemand demand) {
    return demand.meanSlots() / MAXIMUM_MEAN_UTILISATION;
  }
}
