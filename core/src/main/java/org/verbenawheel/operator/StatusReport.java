package org.verbenawheel.operator;

import java.util.Optional;
import org.verbenawheel.identity.AvailabilityZone;
import org.verbenawheel.identity.ProcessId;

/**
 * The response of {@code GET /v1/status}: the state of one control process and its log.
 *
 * @param process the process
 * @param availabilityZone the availability zone that it runs in
 * @param role its role in replication, for example {@code LEADER}, {@code FOLLOWER} or {@code
 *     LEARNER}
 * @param leader the current leader; empty if the process knows none
 * @param term its current replication term
 * @param committedIndex the last log index that it knows to be committed
 * @param appliedIndex the last log index applied to its state
 * @param configurationVersion the version of the configuration in its state
 * @param ready whether it accepts requests
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
