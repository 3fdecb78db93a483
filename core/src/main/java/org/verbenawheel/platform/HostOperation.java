package org.verbenawheel.platform;

import java.util.Optional;
import org.verbenawheel.identity.HostName;
import org.verbenawheel.identity.PoolName;

/**
 * An operation that the platform is to perform on a host. Resending it is idempotent.
 *
 * @param id the id that identifies a resent operation
 * @param host the host
 * @param kind what to do
 * @param pool the pool to lease the host to; empty unless the activity is a move
 * @param fence a fencing token that grows with each operation of a host: the platform refuses a new
 *     operation if it has accepted one for the same host with a higher fence, so a delayed message
 *     from a former leader has no effect
 */
public record HostOperation(
    OperationId id, HostName host, EffectKind kind, Optional<PoolName> pool, long fence) {}
