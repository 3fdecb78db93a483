package org.verbenawheel.platform;

import java.util.Optional;
import org.verbenawheel.identity.HostName;
import org.verbenawheel.identity.PoolName;

/**
 * Something that the platform is asked to do to a host. Resending it is idempotent.
 *
 * @param id identifies the operation
 * @param host the host
 * @param kind what to do
 * @param pool the pool to lease the host to; empty unless the activity is a move
 * @param fence grows with each operation of a host: the platform refuses an operation that it never
 *     saw if it has taken one of the same host with a higher fence, so that a message delayed on
 *     its way from a former leader does nothing
 */
public record HostOperation(
    OperationId id, HostName host, EffectKind kind, Optional<PoolName> pool, long fence) {}
