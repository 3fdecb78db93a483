package org.verbenawheel.claim;

import org.verbenawheel.peer.MessageKinds;

/** Defines the message numbers of the claim commands and their reply. */
public final class ClaimCommands {
  /** The message kinds to register with the process's codec. */
  public static final MessageKinds KINDS =
      MessageKinds.builder()
          .add(500, TakeClaim.class)
          .add(501, RecordAnswer.class)
          .add(502, RecordFailure.class)
          .add(510, ClaimReply.class)
          .build();

  private ClaimCommands() {}
}
