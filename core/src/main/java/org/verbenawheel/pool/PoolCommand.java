package org.verbenawheel.pool;

import java.util.Optional;
import org.verbenawheel.configuration.PoolSettings;
import org.verbenawheel.identity.HostName;
import org.verbenawheel.identity.PoolName;
import org.verbenawheel.platform.Resources;
import org.verbenawheel.replication.ControlCommand;

/** Marks the commands that {@link PoolState} applies. */
public sealed interface PoolCommand extends ControlCommand {

  /**
   * Takes a pool's settings over from an accepted configuration. Idempotent; settings from an older
   * configuration than the present ones are refused.
   *
   * @param settings the settings
   * @param configurationVersion the version of the configuration they stand in
   */
  record DefinePool(PoolSettings settings, long configurationVersion) implements PoolCommand {}

  /**
   * Registers a host into a pool. Idempotent.
   *
   * @param host the host
   * @param location its failure domains
   * @param resources what it offers
   * @param pool the pool it starts in
   * @param condition whether it is powered
   */
  record RegisterHost(
      HostName host,
      HostLocation location,
      Resources resources,
      PoolName pool,
      HostCondition condition)
      implements PoolCommand {}

  /**
   * Takes a host that is off or lost out of the fleet for good.
   *
   * @param host the host
   * @param expectedVersion the version that the operator saw
   */
  record RetireHost(HostName host, long expectedVersion) implements PoolCommand {}

  /**
   * Starts an activity of a host.
   *
   * @param host the host
   * @param activityId identifies the activity; a resend with the same one changes nothing
   * @param kind what to do
   * @param target the pool to move to; only for a move or loan
   * @param expectedVersion the version of the host that the sender saw: of two senders that saw the
   *     same one, one wins
   */
  record StartActivity(
      HostName host,
      ActivityId activityId,
      ActivityKind kind,
      Optional<PoolName> target,
      long expectedVersion)
      implements PoolCommand {}

  /**
   * Ends one phase of an activity, which enters the next one or finishes the activity.
   *
   * @param host the host
   * @param activityId the activity
   * @param completed the phase that is complete; if the activity is past it already, nothing
   *     changes
   * @param expectedVersion the version of the host that the sender saw
   */
  record AdvanceActivity(
      HostName host, ActivityId activityId, ActivityPhase completed, long expectedVersion)
      implements PoolCommand {}

  /**
   * Cancels an activity that has not yet let go of the host.
   *
   * @param host the host
   * @param activityId the activity
   * @param expectedVersion the version of the host that the sender saw
   */
  record CancelActivity(HostName host, ActivityId activityId, long expectedVersion)
      implements PoolCommand {}

  /**
   * Gives an activity up because the platform could not do its effect; the host counts as lost.
   *
   * @param host the host
   * @param activityId the activity
   * @param reason what the platform said, in one sentence
   * @param expectedVersion the version of the host that the sender saw
   */
  record FailActivity(HostName host, ActivityId activityId, String reason, long expectedVersion)
      implements PoolCommand {}

  /**
   * Reports that a host in no activity is lost, or in service again.
   *
   * @param host the host
   * @param condition its condition now
   * @param expectedVersion the version of the host that the sender saw
   */
  record ReportCondition(HostName host, HostCondition condition, long expectedVersion)
      implements PoolCommand {}
}
