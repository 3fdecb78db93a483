package org.verbenawheel.replication;

import org.verbenawheel.peer.PeerMessage;

/**
 * Marks a record that changes the replicated state once it is committed. Each part of the state
 * keeps its commands in its own package.
 */
public interface ControlCommand extends PeerMessage {}
