package org.verbenawheel.operator;

import java.util.Optional;
import org.verbenawheel.identity.AvailabilityZone;
import org.verbenawheel.identity.ProcessId;

/**
 * Answers {@code GET /v1/status}: how one control process sees itself and the log.
 *
 * @param process the process
 * @param availabilityZone where it runs
 * @param role what it is in the log, for example {@code LEADER}, {@code FOLLOWER} or {@code
 *     LEARNER}
 * @param leader the leader that it knows
 * @param term the term of the log
 * @param committedIndex the last index known to be committed
 * @param appliedIndex the last index applied to the state
 * @param configurationVersion the version of the configuration in its state
 * @param ready whether it takes requests
 */
public record StatusReport(
    ProcessId process,
    AvailabilityZone availabilityZone,
    String role,
    Optional<ProcessId> leader,
    long term,
    long committedIndex,
    long appliedIndex,
    long configurationVersion,
    boolean ready) {}
