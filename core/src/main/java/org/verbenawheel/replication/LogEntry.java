package org.verbenawheel.replication;

import java.time.Instant;

/**
 * One entry of the replicated log.
 *
 * @param index its position, from 1 on without gaps
 * @param term the term of the leader that appended it
 * @param stateTime the leader's time when it appended the entry; never decreases along the log
 * @param type the kind of payload
 * @param payload the encoded contents
 */
public record LogEntry(long index, long term, Instant stateTime, EntryType type, Payload payload) {}
