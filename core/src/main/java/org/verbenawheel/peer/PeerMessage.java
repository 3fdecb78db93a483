package org.verbenawheel.peer;

/**
 * Marks a record that processes of the system send to each other. Each topic defines its messages
 * in its own package and registers them with {@link MessageKinds}.
 */
public interface PeerMessage {}
