package org.verbenawheel.maintenance;

import org.verbenawheel.replication.CommandReply;

/** Marks the replies of {@link MaintenanceState}. */
public sealed interface MaintenanceReply extends CommandReply {

  /**
   * The command is in force.
   *
   * @param status the status now
   */
  record MaintenanceChanged(MaintenanceStatus status) implements MaintenanceReply {}

  /**
   * The command changed nothing.
   *
   * @param message why and what to do about it
   * @param status the status now
   */
  record MaintenanceRefused(String message, MaintenanceStatus status) implements MaintenanceReply {}
}
