package org.verbenawheel.replication;

import java.util.concurrent.CompletableFuture;

/** Commits commands to the replicated log, from any process. Thread-safe. */
public interface CommandLog {
  /**
   * Commits a command.
   *
   * @param envelope the command and its identity
   * @return the reply of the {@link StatePart} that applied the command, once a quorum has it on
   *     disk; or fails with {@link CommandNotCommittedException}, whose verdict states whether the
   *     command may have been committed or may still be
   */
  CompletableFuture<CommandReply> submit(CommandEnvelope envelope);
}
