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
   * @return its reply once it is applied; fails if it is not known to be committed
   */
  CompletableFuture<CommandReply> commit(ControlCommand command);
}
