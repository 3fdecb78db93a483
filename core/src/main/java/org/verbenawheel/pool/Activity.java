package org.verbenawheel.pool;

import java.util.Optional;
import org.verbenawheel.identity.PoolName;

/**
 * One thing that is being done to a host.
 *
 * @param id identifies it
 * @param kind what is done
 * @param phase how far it has come
 * @param target the pool that the host moves to; only of a move or loan
 * @param phaseIndex the log index at which the phase was entered: the fencing token of the phase's
 *     effect
 */
public record Activity(
    ActivityId id,
    ActivityKind kind,
    ActivityPhase phase,
    Optional<PoolName> target,
    long phaseIndex) {

  Activity inPhase(ActivityPhase next, long index) {
    return new Activity(id, kind, next, target, index);
  }
}
