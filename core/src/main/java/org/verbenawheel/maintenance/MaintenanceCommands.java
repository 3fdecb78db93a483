package org.verbenawheel.maintenance;

import org.verbenawheel.peer.MessageKinds;

/** Assigns wire numbers 560 to 579 to the maintenance commands and their replies. */
public final class MaintenanceCommands {
  /** The commands and replies of this package by number. */
  public static final MessageKinds KINDS =
      MessageKinds.builder()
          .add(560, MaintenanceCommand.StartMaintenance.class)
          .add(561, MaintenanceCommand.BeginPeriod.class)
          .add(562, MaintenanceCommand.StartWave.class)
          .add(563, MaintenanceCommand.HaltMaintenance.class)
          .add(564, MaintenanceCommand.ResumeMaintenance.class)
          .add(570, MaintenanceReply.MaintenanceChanged.class)
          .add(571, MaintenanceReply.MaintenanceRefused.class)
          .build();

  private MaintenanceCommands() {}
}
