package org.verbenawheel.pool;

import java.time.Instant;

/**
 * An activity that ended because the platform could not perform one of its operations.
 *
 * @param kind the kind of activity
 * @param reason the platform's error message, one sentence
 * @param at the state time at which the failure was recorded
 */
public record ActivityFailure(ActivityKind kind, String reason, Instant at) {}
