package org.verbenawheel.routing;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.verbenawheel.identity.EndpointId;

/**
 * Ejects an endpoint that fails far more of its work than the others do, and readmits it by trials.
 *
 * <p>A runner that fails everything at once always looks least loaded and would draw most of the
 * traffic. A fault of the whole service shows at all endpoints alike and ejects none; at most a
 * third of the endpoints is ejected whatever happens. Not safe for use by many threads.
 */
public final class OutlierDetector {
  private static final int MINIMUM_FAILURES = 4;
  private static final double BUDGET_MULTIPLE = 20;
  private static final double OTHERS_MULTIPLE = 3;
  private static final double WEIGHT_OF_NEWEST = 0.1;
  private static final int EJECTED_DIVISOR = 3;
  private static final int SUCCESSES_TO_READMIT = 3;
  private static final Duration FIRST_EJECTION = Duration.ofSeconds(2);
  private static final int MAXIMUM_DOUBLINGS = 4;

  private final Map<EndpointId, Health> healths = new HashMap<>();

  /**
   * Takes the end of an attempt.
   *
   * @param endpoint where it was sent
   * @param failed whether the endpoint failed it
   * @param availabilityBudget the share of requests of the service that may go unanswered
   * @param endpoints the endpoints of the service
   * @param now the present moment
   * @return whether this ejected the endpoint
   */
  public boolean onAttemptEnded(
      EndpointId endpoint,
      boolean failed,
      double availabilityBudget,
      ImmutableSet<EndpointId> endpoints,
      Instant now) {
    Health health = healths.computeIfAbsent(endpoint, unknown -> new Health());
    health.add(failed);
    if (health.isEjected()) {
      return health.onTrialEnded(failed, now);
    }
    if (!failed || !isOutlier(endpoint, health, availabilityBudget, endpoints)) {
      return false;
    }
    if (ejectedOf(endpoints) >= largestEjected(endpoints.size())) {
      return false;
    }
    health.eject(now);
    return true;
  }

  /**
   * Returns whether an endpoint may take new work: it is not ejected, or its next trial is due.
   *
   * @param endpoint the endpoint
   * @param held how many of its slots are held
   * @param now the present moment
   */
  public boolean accepts(EndpointId endpoint, int held, Instant now) {
    Health health = healths.get(endpoint);
    return health == null || !health.isEjected() || (held == 0 && health.isTrialDue(now));
  }

  /**
   * Returns whether an endpoint is ejected.
   *
   * @param endpoint the endpoint
   */
  public boolean isEjected(EndpointId endpoint) {
    Health health = healths.get(endpoint);
    return health != null && health.isEjected();
  }

  /**
   * Forgets the endpoints that are gone.
   *
   * @param endpoints the endpoints of the service
   */
  public void retain(ImmutableSet<EndpointId> endpoints) {
    healths.keySet().retainAll(endpoints);
  }

  private boolean isOutlier(
      EndpointId endpoint,
      Health health,
      double availabilityBudget,
      ImmutableSet<EndpointId> endpoints) {
    return health.consecutiveFailures >= MINIMUM_FAILURES
        && health.failureShare > BUDGET_MULTIPLE * availabilityBudget
        && health.failureShare > OTHERS_MULTIPLE * failureShareOfOthers(endpoint, endpoints);
  }

  /** Returns the median of the others' failure shares, which a few other outliers do not move. */
  private double failureShareOfOthers(EndpointId endpoint, ImmutableSet<EndpointId> endpoints) {
    double[] shares =
        endpoints.stream()
            .filter(other -> !other.equals(endpoint))
            .mapToDouble(other -> healths.getOrDefault(other, Health.UNKNOWN).failureShare)
            .sorted()
            .toArray();
    return shares.length == 0 ? 1 : shares[shares.length / 2];
  }

  private long ejectedOf(ImmutableSet<EndpointId> endpoints) {
    return endpoints.stream().filter(this::isEjected).count();
  }

  private static int largestEjected(int endpoints) {
    return endpoints < 2 ? 0 : Math.max(1, endpoints / EJECTED_DIVISOR);
  }

  /** What is known of one endpoint. */
  private static final class Health {
    private static final Health UNKNOWN = new Health();

    private double failureShare;
    private int consecutiveFailures;
    private int trialSuccesses;
    private int ejections;
    private Instant ejectedUntil = Instant.MIN;

    private void add(boolean failed) {
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
      int doublings = Math.min(ejections, MAXIMUM_DOUBLINGS);
      ejectedUntil = now.plus(FIRST_EJECTION.multipliedBy(1L << doublings));
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
