package org.verbenawheel.replication;

import java.util.concurrent.CompletableFuture;

/** Commits commands to the replicated log, from any process. Thread-safe. */
public interface CommandLog {
  /**
   * Commits a command.
   *
   * @param envelope the command and its identity
   * @return the reply of the part that applied it, once a quorum has it on disk; or fails with
   *     {@link CommandNotCommittedException}, whose verdict is whether it may still be committed
   */
  CompletableFuture<CommandReply> submit(CommandEnvelope envelope);
}
