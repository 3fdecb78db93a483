package org.verbenawheel.operator;

import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;
import org.verbenawheel.document.Document;
import org.verbenawheel.document.DocumentException;
import org.verbenawheel.document.DocumentFields;
import org.verbenawheel.identity.AvailabilityZone;
import org.verbenawheel.identity.CommandId;
import org.verbenawheel.identity.HostName;
import org.verbenawheel.identity.PoolName;
import org.verbenawheel.identity.Rack;
import org.verbenawheel.identity.Region;
import org.verbenawheel.maintenance.MaintenanceCommand;
import org.verbenawheel.platform.Resources;
import org.verbenawheel.pool.ActivityId;
import org.verbenawheel.pool.ActivityKind;
import org.verbenawheel.pool.HostCondition;
import org.verbenawheel.pool.HostLocation;
import org.verbenawheel.pool.PoolCommand;
import org.verbenawheel.replication.CommandEnvelope;
import org.verbenawheel.replication.ControlCommand;

/** The commands of {@code POST /v1/commands/{name}}, each with the fields of its body. */
public enum OperatorCommand {
  /** Registers a host into a pool. */
  REGISTER_HOST("register-host") {
    @Override
    ControlCommand readCommand(DocumentFields fields, CommandId commandId) {
      return new PoolCommand.RegisterHost(
          host(fields),
          new HostLocation(
              fields.name("rack", Rack::new, new Rack(SUBSTITUTE)),
              fields.name(
                  "availabilityZone", AvailabilityZone::new, new AvailabilityZone(SUBSTITUTE)),
              fields.name("region", Region::new, new Region(SUBSTITUTE))),
          resources(fields),
          pool(fields, "pool"),
          fields.choice("condition", HostCondition.class, HostCondition.OFF));
    }
  },
  /** Takes a host that is off or lost out of the fleet. */
  RETIRE_HOST("retire-host") {
    @Override
    ControlCommand readCommand(DocumentFields fields, CommandId commandId) {
      return new PoolCommand.RetireHost(host(fields), expectedVersion(fields));
    }
  },
  /** Starts the move of a host to another pool; the command's identity becomes the activity's. */
  MOVE_HOST("move-host") {
    @Override
    ControlCommand readCommand(DocumentFields fields, CommandId commandId) {
      return new PoolCommand.StartActivity(
          host(fields),
          new ActivityId(commandId.value()),
          ActivityKind.MOVE,
          Optional.of(pool(fields, "target")),
          expectedVersion(fields));
    }
  },
  /** Cancels what is being done to a host, while the host can still go back. */
  CANCEL_ACTIVITY("cancel-activity") {
    @Override
    ControlCommand readCommand(DocumentFields fields, CommandId commandId) {
      return new PoolCommand.CancelActivity(
          host(fields),
          fields.name("activityId", ActivityId::new, new ActivityId(SUBSTITUTE)),
          expectedVersion(fields));
    }
  },
  /** Starts maintenance: every host is maintained once in each period. */
  START_MAINTENANCE("start-maintenance") {
    @Override
    ControlCommand readCommand(DocumentFields fields, CommandId commandId) {
      return new MaintenanceCommand.StartMaintenance(
          Duration.ofDays(positiveCount(fields, "periodDays")), expectedVersion(fields));
    }
  },
  /** Halts maintenance: no host is taken out until it is resumed. */
  HALT_MAINTENANCE("halt-maintenance") {
    @Override
    ControlCommand readCommand(DocumentFields fields, CommandId commandId) {
      return new MaintenanceCommand.HaltMaintenance(fields.text("reason"), expectedVersion(fields));
    }
  },
  /** Resumes maintenance after a halt. */
  RESUME_MAINTENANCE("resume-maintenance") {
    @Override
    ControlCommand readCommand(DocumentFields fields, CommandId commandId) {
      return new MaintenanceCommand.ResumeMaintenance(expectedVersion(fields));
    }
  };

  private static final String SUBSTITUTE = "-";

  private final String commandName;

  OperatorCommand(String commandName) {
    this.commandName = commandName;
  }

  /** Returns the name in the path. */
  public String commandName() {
    return commandName;
  }

  /**
   * Returns the command of a name.
   *
   * @param name the name in the path
   */
  public static Optional<OperatorCommand> ofName(String name) {
    return Arrays.stream(values()).filter(command -> command.commandName.equals(name)).findFirst();
  }

  /**
   * Reads the body of a request.
   *
   * @param body the body
   * @return the command and its identity, for the log
   * @throws DocumentException with every problem of the body
   */
  public CommandEnvelope read(Document body) throws DocumentException {
    DocumentFields fields = DocumentFields.of(body);
    CommandId commandId = fields.name("commandId", CommandId::new, new CommandId(SUBSTITUTE));
    ControlCommand command = readCommand(fields, commandId);
    fields.refuseUnknownKeys();
    fields.throwIfAny();
    return new CommandEnvelope(Optional.of(commandId), command);
  }

  abstract ControlCommand readCommand(DocumentFields fields, CommandId commandId);

  private static HostName host(DocumentFields fields) {
    return fields.name("host", HostName::new, new HostName(SUBSTITUTE));
  }

  private static PoolName pool(DocumentFields fields, String key) {
    return fields.name(key, PoolName::new, new PoolName(SUBSTITUTE));
  }

  private static long expectedVersion(DocumentFields fields) {
    return fields.longNumber("expectedVersion", null);
  }

  private static Resources resources(DocumentFields fields) {
    return new Resources(
        count(fields, "processors"),
        count(fields, "memoryMebibytes"),
        count(fields, "accelerators"));
  }

  /** Reads a number of 1 or more; another one becomes a problem. */
  private static int positiveCount(DocumentFields fields, String key) {
    int count = fields.wholeNumber(key, null);
    if (fields.isSound(key) && count < 1) {
      fields.add(key, Integer.toString(count), "1 or more");
    }
    return count;
  }

  /** Reads a count; a negative one becomes a problem instead of a record. */
  private static int count(DocumentFields fields, String key) {
    int count = fields.wholeNumber(key, 0);
    if (count < 0) {
      fields.add(key, Integer.toString(count), "0 or more");
      return 0;
    }
    return count;
  }
}
