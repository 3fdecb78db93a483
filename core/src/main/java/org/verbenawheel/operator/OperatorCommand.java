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

/** Commands of {@code POST /v1/commands/{name}}; each reads the fields of its request body. */
public enum OperatorCommand {
  /** Registers a host in a pool. */
  REGISTER_HOST("register-host") {
    @Override
    ControlCommand readCommand(DocumentFields fields, CommandId commandId) {
      return new PoolCommand.RegisterHost(
          host(fields),
          new HostLocation(
              fields.name("rack", Rack::new, new Rack(PLACEHOLDER)),
              fields.name(
                  "availabilityZone", AvailabilityZone::new, new AvailabilityZone(PLACEHOLDER)),
              fields.name("region", Region::new, new Region(PLACEHOLDER))),
          resources(fields),
          pool(fields, "pool"),
          fields.choice("condition", HostCondition.class, HostCondition.OFF));
    }
  },
  /** Removes a host that is off or lost from the fleet. */
  RETIRE_HOST("retire-host") {
    @Override
    ControlCommand readCommand(DocumentFields fields, CommandId commandId) {
      return new PoolCommand.RetireHost(host(fields), expectedVersion(fields));
    }
  },
  /** Starts moving a host to another pool; the id of the command becomes that of the activity. */
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
  /** Cancels the activity of a host, unless it has passed its cancellable phases. */
  CANCEL_ACTIVITY("cancel-activity") {
    @Override
    ControlCommand readCommand(DocumentFields fields, CommandId commandId) {
      return new PoolCommand.CancelActivity(
          host(fields),
          fields.name("activityId", ActivityId::new, new ActivityId(PLACEHOLDER)),
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
  /** Halts maintenance: no host is taken out of service until it is resumed. */
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

  /** Stands for a name that is absent or invalid; {@link #read} then throws. */
  private static final String PLACEHOLDER = "-";

  private final String commandName;

  OperatorCommand(String commandName) {
    this.commandName = commandName;
  }

  /** Returns the name of the command in the request path. */
  public String commandName() {
    return commandName;
  }

  /**
   * Returns the command with the given name.
   *
   * @param name the name in the request path
   */
  public static Optional<OperatorCommand> ofName(String name) {
    return Arrays.stream(values()).filter(command -> command.commandName.equals(name)).findFirst();
  }

  /**
   * Reads the body of a request.
   *
   * @return the command with its id, ready to be committed to the log
   * @throws DocumentException if the body is invalid; lists every problem
   */
  public CommandEnvelope read(Document body) throws DocumentException {
    DocumentFields fields = DocumentFields.of(body);
    CommandId commandId = fields.name("commandId", CommandId::new, new CommandId(PLACEHOLDER));
    ControlCommand command = readCommand(fields, commandId);
    fields.refuseUnknownKeys();
    fields.throwIfAny();
    return new CommandEnvelope(Optional.of(commandId), command);
  }

  abstract ControlCommand readCommand(DocumentFields fields, CommandId commandId);

  private static HostName host(DocumentFields fields) {
    return fields.name("host", HostName::new, new HostName(PLACEHOLDER));
  }

  private static PoolName pool(DocumentFields fields, String key) {
    return fields.name(key, PoolName::new, new PoolName(PLACEHOLDER));
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

  /** Reads a whole number; reports a problem if it is less than 1. */
  private static int positiveCount(DocumentFields fields, String key) {
    int count = fields.wholeNumber(key, null);
    if (fields.isSound(key) && count < 1) {
      fields.add(key, Integer.toString(count), "1 or more");
    }
    return count;
  }

  /**
   * Reads a whole number, 0 by default; reports a problem and returns 0 if it is negative, which
   * {@link Resources} does not accept.
   */
  private static int count(DocumentFields fields, String key) {
    int count = fields.wholeNumber(key, 0);
    if (count < 0) {
      fields.add(key, Integer.toString(count), "0 or more");
      return 0;
    }
    return count;
  }
}
