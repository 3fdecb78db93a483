package org.verbenawheel.routing;

/**
 * What an entry tells the dispatcher about an attempt that ended.
 *
 * @param durationMilliseconds how long the attempt held its slot
 * @param result what its end tells
 * @param endpointKnownFree whether the endpoint is known to no longer run the request; its slot
 *     stays held until it is, or until the lease expires
 */
public record AttemptReport(
    double durationMilliseconds, AttemptResult result, boolean endpointKnownFree) {
  /** The report on a slot that was never used, or is no longer. */
  public static final AttemptReport UNUSED = new AttemptReport(0, AttemptResult.UNUSED, true);
}
