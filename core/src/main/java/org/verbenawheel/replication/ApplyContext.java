package org.verbenawheel.replication;

import java.time.Instant;

/**
 * The log index and state time of a command, for the part that applies it. The same on every
 * replica.
 *
 * @param index the position of the command in the log
 * @param stateTime the leader's time when it proposed the command; never decreases along the log
 */
public record ApplyContext(long index, Instant stateTime) {}
