package org.verbenawheel.replication;

import java.util.Optional;
import org.verbenawheel.identity.CommandId;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.peer.PeerMessage;
import org.verbenawheel.request.RunVerdict;

/** A message between a process that submits commands and a replica. */
public sealed interface SubmitMessage extends PeerMessage {

  /**
   * Asks a replica to commit a command.
   *
   * @param commandId the identity of the command, if it has one
   * @param command the encoded command
   */
  record SubmitCommand(Optional<CommandId> commandId, Payload command) implements SubmitMessage {}

  /**
   * The reply to a command that was committed and applied.
   *
   * @param reply the encoded reply of the part that applied it
   */
  record CommandAccepted(Payload reply) implements SubmitMessage {}

  /**
   * The reply to a command that this replica did not commit.
   *
   * @param verdict whether the command may still be committed
   * @param leader the process that leads, if known and not this one
   * @param message the reason, for logs and errors
   */
  record CommandRefused(RunVerdict verdict, Optional<ProcessId> leader, String message)
      implements SubmitMessage {}
}
