package org.verbenawheel.maintenance;

import org.verbenawheel.replication.CommandReply;

/** Replies of {@link MaintenanceState} to a {@link MaintenanceCommand}. */
public sealed interface MaintenanceReply extends CommandReply {

  /**
   * The command was applied.
   *
   * @param status the status after it
   */
  record MaintenanceChanged(MaintenanceStatus status) implements MaintenanceReply {}

  /**
   * The command changed nothing.
   *
   * @param message why, and what the operator can do
   * @param status the current status
   */
  record MaintenanceRefused(String message, MaintenanceStatus status) implements MaintenanceReply {}
}
