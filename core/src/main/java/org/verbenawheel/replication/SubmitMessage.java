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
   * Answers that the command was committed and applied.
   *
   * @param reply the encoded reply
   */
  record CommandAccepted(Payload reply) implements SubmitMessage {}

  /**
   * Answers that this replica did not commit the command.
   *
   * @param verdict whether the command may yet be committed
   * @param leader the process that leads, if it is another one and known
   * @param message what went wrong
   */
  record CommandRefused(RunVerdict verdict, Optional<ProcessId> leader, String message)
      implements SubmitMessage {}
}
