package org.verbenawheel.execution;

import java.util.concurrent.CompletableFuture;
import org.verbenawheel.replication.CommandReply;
import org.verbenawheel.replication.ControlCommand;

/** Commits the leader's own commands. */
@FunctionalInterface
public interface CommandSink {
  /**
   * Commits a command if this process leads.
   *
   * @param command the command
   * @return completes with the reply once the command is applied; fails if the command is not known
   *     to be committed
   */
  CompletableFuture<CommandReply> commit(ControlCommand command);
}
