package org.verbenawheel.maintenance;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Iterables;
import java.time.Instant;
import java.util.Optional;
import org.verbenawheel.codec.MalformedMessageException;
import org.verbenawheel.codec.MessageCodec;
import org.verbenawheel.maintenance.MaintenanceCommand.BeginPeriod;
import org.verbenawheel.maintenance.MaintenanceCommand.HaltMaintenance;
import org.verbenawheel.maintenance.MaintenanceCommand.ResumeMaintenance;
import org.verbenawheel.maintenance.MaintenanceCommand.StartMaintenance;
import org.verbenawheel.maintenance.MaintenanceCommand.StartWave;
import org.verbenawheel.maintenance.MaintenanceReply.MaintenanceChanged;
import org.verbenawheel.maintenance.MaintenanceReply.MaintenanceRefused;
import org.verbenawheel.replication.ApplyContext;
import org.verbenawheel.replication.CommandReply;
import org.verbenawheel.replication.ControlCommand;
import org.verbenawheel.replication.DamagedSnapshotException;
import org.verbenawheel.replication.StatePart;

/**
 * Holds the replicated status of maintenance: its phase, its period and the last waves. The work on
 * each host is an activity in the state of the pools. Any thread may read the status.
 */
public final class MaintenanceState implements StatePart {
  private static final int WAVES_KEPT = 2;
  private static final MessageCodec CODEC = new MessageCodec(MaintenanceCommands.KINDS);

  private volatile MaintenanceStatus status = MaintenanceStatus.IDLE;

  /** Returns the current status. */
  public MaintenanceStatus status() {
    return status;
  }

  @Override
  public String name() {
    return "maintenance";
  }

  @Override
  public ImmutableSet<Class<? extends ControlCommand>> commandKinds() {
    return ImmutableSet.of(
        StartMaintenance.class,
        BeginPeriod.class,
        StartWave.class,
        HaltMaintenance.class,
        ResumeMaintenance.class);
  }

  @Override
  public CommandReply apply(ControlCommand command, ApplyContext context) {
    if (!(command instanceof MaintenanceCommand maintenanceCommand)) {
      throw new IllegalArgumentException("not a command on maintenance: " + command.getClass());
    }
    MaintenanceStatus before = status;
    if (maintenanceCommand.expectedVersion() != before.version()) {
      return refuse("maintenance is at version " + before.version() + " now: read it again");
    }
    if (needsRunning(maintenanceCommand) && before.phase() != MaintenancePhase.RUNNING) {
      return refuse("maintenance is " + before.phase() + ": start or resume it first");
    }
    if (maintenanceCommand instanceof ResumeMaintenance
        && before.phase() != MaintenancePhase.HALTED) {
      return refuse("maintenance is " + before.phase() + ": only a halted one can be resumed");
    }
    status = statusAfter(before, maintenanceCommand, context);
    return new MaintenanceChanged(status);
  }

  private static boolean needsRunning(MaintenanceCommand command) {
    return command instanceof StartWave
        || command instanceof BeginPeriod
        || command instanceof HaltMaintenance;
  }

  private MaintenanceRefused refuse(String message) {
    return new MaintenanceRefused(message, status);
  }

  private static MaintenanceStatus statusAfter(
      MaintenanceStatus before, MaintenanceCommand command, ApplyContext context) {
    MaintenanceStatus.Builder after = before.toBuilder().version(context.index());
    Instant now = context.stateTime();
    if (command instanceof StartMaintenance start) {
      after.phase(MaintenancePhase.RUNNING).period(start.period()).periodStart(now).judgedFrom(now);
    } else if (command instanceof BeginPeriod) {
      after.periodStart(now);
    } else if (command instanceof StartWave start) {
      after.wavesStarted(before.wavesStarted() + 1).recentWaves(withWave(before, start, now));
    } else if (command instanceof HaltMaintenance halt) {
      after.phase(MaintenancePhase.HALTED).haltReason(Optional.of(halt.reason()));
    } else if (command instanceof ResumeMaintenance) {
      after.phase(MaintenancePhase.RUNNING).haltReason(Optional.empty()).judgedFrom(now);
    }
    return after.build();
  }

  private static ImmutableList<MaintenanceWave> withWave(
      MaintenanceStatus before, StartWave start, Instant now) {
    MaintenanceWave wave =
        new MaintenanceWave(
            before.wavesStarted() + 1, start.availabilityZone(), now, start.hosts());
    int skipped = Math.max(0, before.recentWaves().size() + 1 - WAVES_KEPT);
    return ImmutableList.<MaintenanceWave>builder()
        .addAll(Iterables.skip(before.recentWaves(), skipped))
        .add(wave)
        .build();
  }

  @Override
  public byte[] snapshot() {
    return CODEC.encode(new MaintenanceChanged(status));
  }

  @Override
  public void restore(byte[] snapshot) throws DamagedSnapshotException {
    try {
      status = ((MaintenanceChanged) CODEC.decode(snapshot)).status();
    } catch (MalformedMessageException | ClassCastException malformed) {
      throw new DamagedSnapshotException(
          "maintenance status in the snapshot cannot be decoded: restore the replica from its peers",
          malformed);
    }
  }

  @Override
  public Object dump() {
    return status;
  }
}
