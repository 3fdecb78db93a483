package org.verbenawheel.maintenance;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import org.verbenawheel.identity.AvailabilityZone;
import org.verbenawheel.identity.HostName;
import org.verbenawheel.replication.ControlCommand;

/**
 * Commands that {@link MaintenanceState} applies. Each carries the version of the status that its
 * sender has read and is refused if the status has changed since.
 */
public sealed interface MaintenanceCommand extends ControlCommand {
  /** Returns the version of the status that the sender has read. */
  long expectedVersion();

  /**
   * Starts maintenance; if it is started already, begins a new period immediately.
   *
   * @param period the time in which every host is maintained once
   * @param expectedVersion the version of the status that the sender has read
   */
  record StartMaintenance(Duration period, long expectedVersion) implements MaintenanceCommand {}

  /**
   * Begins the next period after the current one has ended.
   *
   * @param expectedVersion the version of the status that the sender has read
   */
  record BeginPeriod(long expectedVersion) implements MaintenanceCommand {}

  /**
   * Starts a wave.
   *
   * @param availabilityZone the availability zone of all the hosts
   * @param hosts the hosts, in the order in which they are taken out of service
   * @param expectedVersion the version of the status that the sender has read
   */
  record StartWave(
      AvailabilityZone availabilityZone, ImmutableList<HostName> hosts, long expectedVersion)
      implements MaintenanceCommand {}

  /**
   * Halts maintenance: no host is taken out of service until an operator resumes or restarts it.
   *
   * @param reason why, in one sentence; shown to operators
   * @param expectedVersion the version of the status that the sender has read
   */
  record HaltMaintenance(String reason, long expectedVersion) implements MaintenanceCommand {}

  /**
   * Resumes halted maintenance; failures up to now no longer halt it.
   *
   * @param expectedVersion the version of the status that the sender has read
   */
  record ResumeMaintenance(long expectedVersion) implements MaintenanceCommand {}
}
