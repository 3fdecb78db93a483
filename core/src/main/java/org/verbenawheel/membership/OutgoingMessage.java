package org.verbenawheel.membership;

import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.peer.PeerMessage;

/** A message that {@link MembershipNode} is to send to another entry. */
record OutgoingMessage(ProcessId to, PeerMessage message) {}
