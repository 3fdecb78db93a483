package org.verbenawheel.replication;

import java.time.Instant;

/**
 * Tells a part of the state where and when a command was committed. The same on every replica.
 *
 * @param index the position of the command in the log
 * @param stateTime the leader's time when it proposed the command; never goes back
 */
public record ApplyContext(long index, Instant stateTime) {}
