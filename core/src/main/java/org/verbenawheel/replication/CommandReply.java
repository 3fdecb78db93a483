package org.verbenawheel.replication;

import org.verbenawheel.peer.PeerMessage;

/** Marks a record that a part of the replicated state answers a committed command with. */
public interface CommandReply extends PeerMessage {}
