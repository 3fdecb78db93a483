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

/** Submits commands to this process's replica, for local callers and for other processes. */
final class CommandSubmitter {
  private final ProcessId self;
  private final MessageCodec codec;

  CommandSubmitter(ProcessId self, MessageCodec codec) {
    this.self = self;
    this.codec = codec;
  }

  /**
   * Commits a command if the replica leads and the command is not too long.
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
    if (length > CommandSize.MAXIMUM_BYTES) {
      return CompletableFuture.failedFuture(new CommandTooLongException(length));
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
   * Commits a command that another process sent.
   *
   * @param replica the replica; null while it is not started
   * @param command the command
   * @param leader the process that leads, if known
   * @return the reply message, {@link CommandAccepted} or {@link CommandRefused}; never fails
   */
  CompletableFuture<PeerMessage> submitForPeer(
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
    Optional<ProcessId> otherLeader = leader.filter(process -> !process.equals(self));
    return new CommandRefused(verdict, otherLeader, String.valueOf(failure));
  }
}
