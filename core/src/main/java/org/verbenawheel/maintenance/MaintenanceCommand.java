package org.verbenawheel.maintenance;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import org.verbenawheel.identity.AvailabilityZone;
import org.verbenawheel.identity.HostName;
import org.verbenawheel.replication.ControlCommand;

/**
 * Marks the commands that {@link MaintenanceState} applies. Each carries the version of the status
 * that its sender saw: of two that saw the same one, one wins.
 */
public sealed interface MaintenanceCommand extends ControlCommand {
  /** Returns the version of the status that the sender saw. */
  long expectedVersion();

  /**
   * Starts maintenance, or begins a new period at once.
   *
   * @param period every host is maintained once in this time
   * @param expectedVersion the version that the sender saw
   */
  record StartMaintenance(Duration period, long expectedVersion) implements MaintenanceCommand {}

  /**
   * Begins the next period after the present one is over.
   *
   * @param expectedVersion the version that the sender saw
   */
  record BeginPeriod(long expectedVersion) implements MaintenanceCommand {}

  /**
   * Starts a wave.
   *
   * @param availabilityZone the availability zone that all the hosts are in
   * @param hosts the hosts, in the order in which they are taken out
   * @param expectedVersion the version that the sender saw
   */
  record StartWave(
      AvailabilityZone availabilityZone, ImmutableList<HostName> hosts, long expectedVersion)
      implements MaintenanceCommand {}

  /**
   * Halts maintenance: no host is taken out until it is resumed.
   *
   * @param reason why, in one sentence
   * @param expectedVersion the version that the sender saw
   */
  record HaltMaintenance(String reason, long expectedVersion) implements MaintenanceCommand {}

  /**
   * Resumes maintenance; failures up to now no longer halt it.
   *
   * @param expectedVersion the version that the sender saw
   */
  record ResumeMaintenance(long expectedVersion) implements MaintenanceCommand {}
}
