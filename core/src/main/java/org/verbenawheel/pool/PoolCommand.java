package org.verbenawheel.pool;

import java.util.Optional;
import org.verbenawheel.configuration.PoolSettings;
import org.verbenawheel.identity.HostName;
import org.verbenawheel.identity.PoolName;
import org.verbenawheel.platform.Resources;
import org.verbenawheel.replication.ControlCommand;

/** The commands that {@link PoolState} applies. */
public sealed interface PoolCommand extends ControlCommand {

  /**
   * Defines a pool or replaces its settings with those of an accepted configuration. Idempotent;
   * settings from an older configuration than that of the current ones are refused.
   *
   * @param settings the new settings
   * @param configurationVersion the version of the configuration that contains the settings
   */
  record DefinePool(PoolSettings settings, long configurationVersion) implements PoolCommand {}

  /**
   * Adds a host to the fleet, in a pool. Idempotent.
   *
   * @param host the name of the host
   * @param location its failure domains
   * @param resources its total resources
   * @param pool the pool it starts in
   * @param condition its initial condition
   */
  record RegisterHost(
      HostName host,
      HostLocation location,
      Resources resources,
      PoolName pool,
      HostCondition condition)
      implements PoolCommand {}

  /**
   * Removes a host that is off or lost from the fleet permanently.
   *
   * @param host the host
   * @param expectedVersion the version of the host that the operator read
   */
  record RetireHost(HostName host, long expectedVersion) implements PoolCommand {}

  /**
   * Starts an activity on a host.
   *
   * @param host the host
   * @param activityId identifies the activity; a resend with the same ID changes nothing
   * @param kind the kind of activity
   * @param target the pool to move to; empty unless the activity is a move or a loan
   * @param expectedVersion the version of the host that the sender read; of two senders that read
   *     the same version, only one succeeds
   */
  record StartActivity(
      HostName host,
      ActivityId activityId,
      ActivityKind kind,
      Optional<PoolName> target,
      long expectedVersion)
      implements PoolCommand {}

  /**
   * Completes one phase of an activity. The activity enters its next phase, or finishes after the
   * last one.
   *
   * @param host the host
   * @param activityId the activity
   * @param completed the completed phase; if the activity is already in a later one, nothing
   *     changes
   * @param expectedVersion the version of the host that the sender read
   */
  record AdvanceActivity(
      HostName host, ActivityId activityId, ActivityPhase completed, long expectedVersion)
      implements PoolCommand {}

  /**
   * Cancels an activity that is requested or draining. A draining host enters {@link
   * ActivityPhase#RESUMING}.
   *
   * @param host the host
   * @param activityId the activity
   * @param expectedVersion the version of the host that the sender read
   */
  record CancelActivity(HostName host, ActivityId activityId, long expectedVersion)
      implements PoolCommand {}

  /**
   * Ends an activity because the platform could not perform its operation, and marks the host lost.
   *
   * @param host the host
   * @param activityId the activity
   * @param reason the platform's error message, one sentence
   * @param expectedVersion the version of the host that the sender read
   */
  record FailActivity(HostName host, ActivityId activityId, String reason, long expectedVersion)
      implements PoolCommand {}

  /**
   * Reports that a host without an activity is lost, or in service again.
   *
   * @param host the host
   * @param condition its measured condition
   * @param expectedVersion the version of the host that the sender read
   */
  record ReportCondition(HostName host, HostCondition condition, long expectedVersion)
      implements PoolCommand {}
}
