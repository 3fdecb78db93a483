package org.verbenawheel.replication;

/**
 * The reply to a command that cannot be decoded, that no part applies, or on which a part threw an
 * unchecked exception. Every replica gets the same result, so the command stays in the log and the
 * replicas continue.
 *
 * @param message the exception, or why no part applied the command
 */
public record CommandFaulted(String message) implements CommandReply {}
