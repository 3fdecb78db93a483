package org.verbenawheel.routing;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.verbenawheel.identity.EndpointId;

/**
 * Ejects an endpoint with a far higher share of failed attempts than the others, and readmits it
 * after successful trials.
 *
 * <p>An endpoint that fails every attempt immediately always looks least loaded and would attract
 * most of the traffic. A fault of the whole service raises the failure share of all endpoints alike
 * and ejects none. At most a third of the endpoints is ejected in any case. Not thread-safe.
 */
public final class OutlierDetector {
  private static final int MINIMUM_CONSECUTIVE_FAILURES = 4;
  private static final double AVAILABILITY_BUDGET_FACTOR = 20;
  private static final double MEDIAN_FACTOR = 3;
  private static final double WEIGHT_OF_NEWEST = 0.1;
  private static final int EJECTED_DIVISOR = 3;
  private static final int SUCCESSES_TO_READMIT = 3;
  private static final Duration INITIAL_EJECTION = Duration.ofSeconds(2);
  private static final int MAXIMUM_EJECTION_DOUBLINGS = 4;

  private final Map<EndpointId, Health> healthByEndpoint = new HashMap<>();

  /**
   * Records the result of an attempt and ejects or readmits its endpoint accordingly.
   *
   * @param endpoint the endpoint that the attempt was sent to
   * @param failed whether the attempt counts as a failure of the endpoint
   * @param availabilityBudget the share of requests of the service that may go unanswered
   * @param endpoints the endpoints of the service
   * @param now the current time
   * @return whether this result ejected the endpoint, for the first time or again
   */
  public boolean onAttemptEnded(
      EndpointId endpoint,
      boolean failed,
      double availabilityBudget,
      ImmutableSet<EndpointId> endpoints,
      Instant now) {
    Health health = healthByEndpoint.computeIfAbsent(endpoint, missing -> new Health());
    health.addResult(failed);
    if (health.isEjected()) {
      return health.onTrialEnded(failed, now);
    }
    if (!failed || !isOutlier(endpoint, health, availabilityBudget, endpoints)) {
      return false;
    }
    if (countEjected(endpoints) >= maximumEjected(endpoints.size())) {
      return false;
    }
    health.eject(now);
    return true;
  }

  /**
   * Returns whether an endpoint may receive new work: it is not ejected, or it holds no slot and
   * its next trial is due.
   *
   * @param endpoint the endpoint
   * @param held how many of its slots are held
   * @param now the current time
   */
  public boolean accepts(EndpointId endpoint, int held, Instant now) {
    Health health = healthByEndpoint.get(endpoint);
    return health == null || !health.isEjected() || (held == 0 && health.isTrialDue(now));
  }

  /**
   * Returns whether an endpoint is ejected.
   *
   * @param endpoint the endpoint
   */
  public boolean isEjected(EndpointId endpoint) {
    Health health = healthByEndpoint.get(endpoint);
    return health != null && health.isEjected();
  }

  /**
   * Drops the health of endpoints that have left the service.
   *
   * @param endpoints the endpoints that are still in the service
   */
  public void retain(ImmutableSet<EndpointId> endpoints) {
    healthByEndpoint.keySet().retainAll(endpoints);
  }

  private boolean isOutlier(
      EndpointId endpoint,
      Health health,
      double availabilityBudget,
      ImmutableSet<EndpointId> endpoints) {
    return health.consecutiveFailures >= MINIMUM_CONSECUTIVE_FAILURES
        && health.failureShare > AVAILABILITY_BUDGET_FACTOR * availabilityBudget
        && health.failureShare > MEDIAN_FACTOR * medianFailureShareOfOthers(endpoint, endpoints);
  }

  /**
   * Returns the median failure share of the other endpoints, which a few other outliers do not
   * change; 1 if there are none.
   */
  private double medianFailureShareOfOthers(
      EndpointId endpoint, ImmutableSet<EndpointId> endpoints) {
    double[] shares =
        endpoints.stream()
            .filter(other -> !other.equals(endpoint))
            .mapToDouble(other -> healthByEndpoint.getOrDefault(other, Health.UNKNOWN).failureShare)
            .sorted()
            .toArray();
    return shares.length == 0 ? 1 : shares[shares.length / 2];
  }

  private long countEjected(ImmutableSet<EndpointId> endpoints) {
    return endpoints.stream().filter(this::isEjected).count();
  }

  private static int maximumEjected(int endpoints) {
    return endpoints < 2 ? 0 : Math.max(1, endpoints / EJECTED_DIVISOR);
  }

  /** The failure statistics and the ejection state of one endpoint. */
  private static final class Health {
    private static final Health UNKNOWN = new Health();

    private double failureShare;
    private int consecutiveFailures;
    private int trialSuccesses;
    private int ejections;
    private Instant ejectedUntil = Instant.MIN;

    private void addResult(boolean failed) {
      failureShare += WEIGHT_OF_NEWEST * ((failed ? 1 : 0) - failureShare);
      consecutiveFailures = failed ? consecutiveFailures + 1 : 0;
    }

    private boolean isEjected() {
      return !ejectedUntil.equals(Instant.MIN);
    }

    private boolean isTrialDue(Instant now) {
      return !now.isBefore(ejectedUntil);
    }

    private void eject(Instant now) {
      int doublings = Math.min(ejections, MAXIMUM_EJECTION_DOUBLINGS);
      ejectedUntil = now.plus(INITIAL_EJECTION.multipliedBy(1L << doublings));
      ejections++;
      trialSuccesses = 0;
    }

    private boolean onTrialEnded(boolean failed, Instant now) {
      if (failed) {
        if (isTrialDue(now)) {
          eject(now);
          return true;
        }
        return false;
      }
      trialSuccesses++;
      if (trialSuccesses >= SUCCESSES_TO_READMIT) {
        readmit();
      }
      return false;
    }

    private void readmit() {
      ejectedUntil = Instant.MIN;
      failureShare = 0;
      ejections = 0;
      trialSuccesses = 0;
    }
  }
}
