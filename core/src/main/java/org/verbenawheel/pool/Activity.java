package org.verbenawheel.pool;

import java.util.Optional;
import org.verbenawheel.identity.PoolName;

/**
 * An operation in progress on a host, such as a move to another pool or a reboot.
 *
 * @param id identifies the activity
 * @param kind the kind of operation, which fixes the order of the phases
 * @param phase the phase that the host is in
 * @param target the pool that the host moves to; empty unless the activity is a move or a loan
 * @param phaseIndex the log index of the command that entered the phase, used as the fencing token
 *     of the platform operation for that phase
 */
public record Activity(
    ActivityId id,
    ActivityKind kind,
    ActivityPhase phase,
    Optional<PoolName> target,
    long phaseIndex) {

  Activity withPhase(ActivityPhase next, long index) {
    return new Activity(id, kind, next, target, index);
  }
}
