package org.verbenawheel.worker;

import org.verbenawheel.replication.CommandReply;
import org.verbenawheel.replication.ControlCommand;

/** The replicated commands that change the {@link WorkerRegistry}, and their reply. */
public final class WorkerCommands {
  private WorkerCommands() {}

  /**
   * Adds a worker, or replaces its entry unless that is from a later incarnation.
   *
   * @param worker the worker as it announced itself
   */
  public record RecordWorker(Worker worker) implements ControlCommand {}

  /**
   * Removes a worker that may have ended, unless it has started again since. A later report adds it
   * again.
   *
   * @param id the worker's id
   * @param bornAtMilliseconds the start of the incarnation that ended, in milliseconds since 1970
   *     by the worker's clock
   */
  public record ForgetWorker(String id, long bornAtMilliseconds) implements ControlCommand {}

  /**
   * Removes a worker that is known to have ended, and rejects late reports of that incarnation
   * unless its start is unknown.
   *
   * @param id the worker's id
   * @param bornAtMilliseconds the start of the incarnation that ended, in milliseconds since 1970
   *     by the worker's clock
   */
  public record EndWorker(String id, long bornAtMilliseconds) implements ControlCommand {}

  /** Replies to all commands. */
  public record WorkersChanged() implements CommandReply {}
}
