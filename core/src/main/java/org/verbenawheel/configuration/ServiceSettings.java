package org.verbenawheel.configuration;

import org.verbenawheel.identity.PoolName;
import org.verbenawheel.identity.ServiceName;

/**
 * The settings of one service, generated from the questionnaire and changed by operators.
 *
 * @param name the name of the service
 * @param pool the pool whose hosts run it
 * @param workClass whether a person waits for its answers
 * @param availabilityBudget the share of requests that may go unanswered, more than 0 and less than
 *     1; for example 0.001
 * @param deadlineMilliseconds the deadline of a request that does not specify one
 * @param queueLimit the maximum number of admitted requests that wait for a slot, over all entries
 * @param slotsPerEndpoint the maximum number of requests that one endpoint runs concurrently
 * @param connectionsPerEndpoint the maximum number of connections to one endpoint from all entries
 *     together
 * @param shortWorkMilliseconds the run time beyond which a request counts as long work
 * @param longWorkSlotShare the maximum share of slots that long work may hold, more than 0 and at
 *     most 1
 * @param retryBudgetShare the maximum number of retries as a share of first attempts, from 0 to 1
 */
public record ServiceSettings(
    ServiceName name,
    PoolName pool,
    WorkClass workClass,
    double availabilityBudget,
    long deadlineMilliseconds,
    int queueLimit,
    int slotsPerEndpoint,
    int connectionsPerEndpoint,
    long shortWorkMilliseconds,
    double longWorkSlotShare,
    double retryBudgetShare) {

  /**
   * Returns a builder with the defaults for an interactive service.
   *
   * @param name the name of the service
   * @param pool the pool whose hosts run it
   */
  public static Builder builder(ServiceName name, PoolName pool) {
    return new Builder(name, pool);
  }

  /** Builds the settings of one service. */
  public static final class Builder {
    private static final double DEFAULT_AVAILABILITY_BUDGET = 0.001;
    private static final long DEFAULT_DEADLINE_MILLISECONDS = 5_000;
    private static final int DEFAULT_QUEUE_LIMIT = 4_096;
    private static final int DEFAULT_SLOTS_PER_ENDPOINT = 8;
    private static final int DEFAULT_CONNECTIONS_PER_ENDPOINT = 64;
    private static final long DEFAULT_SHORT_WORK_MILLISECONDS = 200;
    private static final double DEFAULT_LONG_WORK_SLOT_SHARE = 0.25;
    private static final double DEFAULT_RETRY_BUDGET_SHARE = 0.1;

    private final ServiceName name;
    private final PoolName pool;
    private WorkClass workClass = WorkClass.INTERACTIVE;
    private double availabilityBudget = DEFAULT_AVAILABILITY_BUDGET;
    private long deadlineMilliseconds = DEFAULT_DEADLINE_MILLISECONDS;
    private int queueLimit = DEFAULT_QUEUE_LIMIT;
    private int slotsPerEndpoint = DEFAULT_SLOTS_PER_ENDPOINT;
    private int connectionsPerEndpoint = DEFAULT_CONNECTIONS_PER_ENDPOINT;
    private long shortWorkMilliseconds = DEFAULT_SHORT_WORK_MILLISECONDS;
    private double longWorkSlotShare = DEFAULT_LONG_WORK_SLOT_SHARE;
    private double retryBudgetShare = DEFAULT_RETRY_BUDGET_SHARE;

    private Builder(ServiceName name, PoolName pool) {
      this.name = name;
      this.pool = pool;
    }

    /** Sets {@link ServiceSettings#workClass}. */
    public Builder workClass(WorkClass value) {
      workClass = value;
      return this;
    }

    /** Sets {@link ServiceSettings#availabilityBudget}. */
    public Builder availabilityBudget(double value) {
      availabilityBudget = value;
      return this;
    }

    /** Sets {@link ServiceSettings#deadlineMilliseconds}. */
    public Builder deadlineMilliseconds(long value) {
      deadlineMilliseconds = value;
      return this;
    }

    /** Sets {@link ServiceSettings#queueLimit}. */
    public Builder queueLimit(int value) {
      queueLimit = value;
      return this;
    }

    /** Sets {@link ServiceSettings#slotsPerEndpoint}. */
    public Builder slotsPerEndpoint(int value) {
      slotsPerEndpoint = value;
      return this;
    }

    /** Sets {@link ServiceSettings#connectionsPerEndpoint}. */
    public Builder connectionsPerEndpoint(int value) {
      connectionsPerEndpoint = value;
      return this;
    }

    /** Sets {@link ServiceSettings#shortWorkMilliseconds}. */
    public Builder shortWorkMilliseconds(long value) {
      shortWorkMilliseconds = value;
      return this;
    }

    /** Sets {@link ServiceSettings#longWorkSlotShare}. */
    public Builder longWorkSlotShare(double value) {
      longWorkSlotShare = value;
      return this;
    }

    /** Sets {@link ServiceSettings#retryBudgetShare}. */
    public Builder retryBudgetShare(double value) {
      retryBudgetShare = value;
      return this;
    }

    /** Returns the settings. They are validated with the configuration that contains them. */
    public ServiceSettings build() {
      return new ServiceSettings(
          name,
          pool,
          workClass,
          availabilityBudget,
          deadlineMilliseconds,
          queueLimit,
          slotsPerEndpoint,
          connectionsPerEndpoint,
          shortWorkMilliseconds,
          longWorkSlotShare,
          retryBudgetShare);
    }
  }
}
