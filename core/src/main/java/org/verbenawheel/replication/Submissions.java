package org.verbenawheel.replication;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.verbenawheel.codec.MessageCodec;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.peer.PeerMessage;
import org.verbenawheel.replication.SubmitMessage.CommandAccepted;
import org.verbenawheel.replication.SubmitMessage.CommandRefused;
import org.verbenawheel.replication.SubmitMessage.SubmitCommand;
import org.verbenawheel.request.RunVerdict;

/** Takes encoded commands for one replica, and answers those of other processes. */
final class Submissions {
  /** The largest encoded command that is accepted. */
  static final int MAXIMUM_COMMAND_BYTES = 1024 * 1024;

  private final ProcessId self;
  private final MessageCodec codec;

  Submissions(ProcessId self, MessageCodec codec) {
    this.self = self;
    this.codec = codec;
  }

  /**
   * Commits a command, if the replica leads.
   *
   * @param replica the replica; null while it is not started
   * @param command the command
   * @return the reply; or fails with {@link CommandNotCommittedException}
   */
  CompletableFuture<CommandReply> submit(@Nullable RunningReplica replica, SubmitCommand command) {
    if (replica == null) {
      return refused("this replica is not running");
    }
    int length = command.command().length();
    if (length > MAXIMUM_COMMAND_BYTES) {
      return refused("the command has " + length + " bytes; send at most " + MAXIMUM_COMMAND_BYTES);
    }
    CompletableFuture<CommandReply> reply = new CompletableFuture<>();
    replica.propose(CommandEncoding.encode(command.commandId(), command.command()), reply);
    return reply;
  }

  private static CompletableFuture<CommandReply> refused(String message) {
    return CompletableFuture.failedFuture(
        new CommandNotCommittedException(RunVerdict.NOT_RUN, message));
  }

  /**
   * Commits a command of another process.
   *
   * @param replica the replica; null while it is not started
   * @param command the command
   * @param leader the process that leads, if known
   * @return the message to answer with; never fails
   */
  CompletableFuture<PeerMessage> answer(
      @Nullable RunningReplica replica, SubmitCommand command, Optional<ProcessId> leader) {
    return submit(replica, command)
        .handle((reply, failure) -> reply == null ? refusal(failure, leader) : accepted(reply));
  }

  private PeerMessage accepted(CommandReply reply) {
    return new CommandAccepted(Payload.of(codec.encode(reply)));
  }

  private PeerMessage refusal(@Nullable Throwable failure, Optional<ProcessId> leader) {
    RunVerdict verdict =
        failure instanceof CommandNotCommittedException notCommitted
            ? notCommitted.verdict()
            : RunVerdict.MAY_HAVE_RUN;
    Optional<ProcessId> otherLeader = leader.filter(known -> !known.equals(self));
    return new CommandRefused(verdict, otherLeader, String.valueOf(failure));
  }
}
