package org.verbenawheel.replication;

import java.time.Instant;

/**
 * One entry of the replicated log.
 *
 * @param index its position, from 1 on without gaps
 * @param term the term of the leader that made it
 * @param stateTime the leader's time when it made the entry; never goes back along the log
 * @param type what the payload holds
 * @param payload the encoded contents
 */
public record LogEntry(long index, long term, Instant stateTime, EntryType type, Payload payload) {}
