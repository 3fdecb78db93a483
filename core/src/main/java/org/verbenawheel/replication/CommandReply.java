package org.verbenawheel.replication;

import org.verbenawheel.peer.PeerMessage;

/** Marks a record that a part of the replicated state returns as the reply to a command. */
public interface CommandReply extends PeerMessage {}
