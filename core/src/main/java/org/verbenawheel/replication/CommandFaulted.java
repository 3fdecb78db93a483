package org.verbenawheel.replication;

/**
 * Answers a command on which a part of the state threw an unchecked exception. Every replica sees
 * the same, so the command stays in the log and the replicas go on.
 *
 * @param message what the part threw
 */
public record CommandFaulted(String message) implements CommandReply {}
