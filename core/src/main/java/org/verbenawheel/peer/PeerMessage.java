package org.verbenawheel.peer;

/**
 * Marks a record that processes of the system send one another. Each topic keeps its messages in
 * its own package and registers them with {@link MessageKinds}.
 */
public interface PeerMessage {}
