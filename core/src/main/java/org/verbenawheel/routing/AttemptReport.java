package org.verbenawheel.routing;

/**
 * An entry's report to the dispatcher on an attempt that ended.
 *
 * @param durationMilliseconds how long the attempt held its slot
 * @param result how it ended, from which endpoint health and run times are learned
 * @param endpointKnownFree whether the endpoint is known to no longer run the request; if not, the
 *     slot stays held until it is or until the lease expires
 */
public record AttemptReport(
    double durationMilliseconds, AttemptResult result, boolean endpointKnownFree) {
  /** The report that frees a slot which was never used or is no longer in use. */
  public static final AttemptReport UNUSED = new AttemptReport(0, AttemptResult.UNUSED, true);
}
