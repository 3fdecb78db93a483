package org.verbenawheel.worker;

import org.verbenawheel.replication.CommandReply;
import org.verbenawheel.replication.ControlCommand;

/** The commands that change which workers are known. */
public final class WorkerCommands {
  private WorkerCommands() {}

  /**
   * Adds a worker, or replaces what is known of it.
   *
   * @param worker as it announced itself
   */
  public record RecordWorker(Worker worker) implements ControlCommand {}

  /**
   * Forgets a worker that ended.
   *
   * @param id its id
   * @param bornAtMilliseconds the life that ended
   */
  public record ForgetWorker(String id, long bornAtMilliseconds) implements ControlCommand {}

  /** Answers both. */
  public record WorkersChanged() implements CommandReply {}
}
