package org.verbenawheel.operator;

import com.google.common.base.Joiner;
import java.util.Optional;
import org.verbenawheel.configuration.ConfigurationReply;
import org.verbenawheel.maintenance.MaintenanceReply;
import org.verbenawheel.maintenance.MaintenanceStatus;
import org.verbenawheel.pool.HostRecord;
import org.verbenawheel.pool.PoolRefusalReason;
import org.verbenawheel.pool.PoolReply;
import org.verbenawheel.replication.CommandReply;

/**
 * The response to an operator's command after it was committed.
 *
 * @param outcome whether the command was applied
 * @param message what happened, in one sentence
 * @param fix what the operator can do; empty if the command was accepted
 * @param version the current version of the host, maintenance status or configuration that the
 *     command names
 */
public record OperatorReply(Outcome outcome, String message, String fix, Optional<Long> version) {

  /** Whether a command was applied, and the HTTP status of its response. */
  public enum Outcome {
    /** The command was applied. */
    ACCEPTED(200),
    /** The version that the command expected is outdated; nothing was changed. */
    CONFLICT(409),
    /** The state does not allow the command; nothing was changed. */
    REFUSED(422);

    private final int httpStatus;

    Outcome(int httpStatus) {
      this.httpStatus = httpStatus;
    }

    /** Returns the HTTP status of a response with this outcome. */
    public int httpStatus() {
      return httpStatus;
    }
  }

  /**
   * Converts the reply of a state part to a committed command.
   *
   * @param reply the reply of the state part
   */
  public static OperatorReply of(CommandReply reply) {
    if (reply instanceof ConfigurationReply configurationReply) {
      return ofConfiguration(configurationReply);
    }
    if (reply instanceof PoolReply poolReply) {
      return ofPool(poolReply);
    }
    if (reply instanceof MaintenanceReply maintenanceReply) {
      return ofMaintenance(maintenanceReply);
    }
    return accepted(reply.toString(), Optional.empty());
  }

  /**
   * Returns the response to a command that was applied.
   *
   * @param message what happened, in one sentence
   */
  public static OperatorReply accepted(String message) {
    return accepted(message, Optional.empty());
  }

  private static OperatorReply ofMaintenance(MaintenanceReply reply) {
    if (reply instanceof MaintenanceReply.MaintenanceRefused refused) {
      return new OperatorReply(
          Outcome.REFUSED,
          refused.message(),
          "show the status with: verbenawheel maintenance status",
          Optional.of(refused.status().version()));
    }
    MaintenanceStatus status = ((MaintenanceReply.MaintenanceChanged) reply).status();
    return accepted("maintenance is " + status.phase(), Optional.of(status.version()));
  }

  private static OperatorReply ofConfiguration(ConfigurationReply reply) {
    if (reply instanceof ConfigurationReply.Accepted accepted) {
      return accepted(
          "configuration accepted as version " + accepted.version(),
          Optional.of(accepted.version()));
    }
    if (reply instanceof ConfigurationReply.Conflict conflict) {
      return new OperatorReply(
          Outcome.CONFLICT,
          "the configuration is at version "
              + conflict.currentVersion()
              + ", made by "
              + conflict.changedBy()
              + ", not at "
              + conflict.expectedVersion(),
          "see what changed with: verbenawheel configuration diff <file>, then apply again",
          Optional.of(conflict.currentVersion()));
    }
    ConfigurationReply.Invalid invalid = (ConfigurationReply.Invalid) reply;
    return new OperatorReply(
        Outcome.REFUSED,
        Joiner.on("; ").join(invalid.problems()),
        "correct these values and apply again",
        Optional.empty());
  }

  private static OperatorReply ofPool(PoolReply reply) {
    if (reply instanceof PoolReply.HostChanged changed) {
      return accepted(describe(changed.host()), Optional.of(changed.host().version()));
    }
    if (reply instanceof PoolReply.HostRetired retired) {
      return accepted("host " + retired.host() + " was removed from the fleet", Optional.empty());
    }
    if (reply instanceof PoolReply.Refused refused) {
      return new OperatorReply(
          refused.reason() == PoolRefusalReason.VERSION_CONFLICT
              ? Outcome.CONFLICT
              : Outcome.REFUSED,
          refused.message(),
          "show the host with: verbenawheel host list",
          refused.currentVersion());
    }
    return accepted(reply.toString(), Optional.empty());
  }

  private static String describe(HostRecord host) {
    String activity =
        host.activity()
            .map(current -> ", " + current.kind() + " in phase " + current.phase())
            .orElse("");
    return "host " + host.host() + " is in pool " + host.pool() + activity;
  }

  private static OperatorReply accepted(String message, Optional<Long> version) {
    return new OperatorReply(Outcome.ACCEPTED, message, "", version);
  }
}
