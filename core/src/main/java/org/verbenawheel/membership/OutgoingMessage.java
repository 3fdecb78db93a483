package org.verbenawheel.membership;

import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.peer.PeerMessage;

/**
 * A message that a decision wants sent.
 *
 * @param to the entry that gets it
 * @param message the message
 */
record OutgoingMessage(ProcessId to, PeerMessage message) {}
