package org.verbenawheel.pool;

import java.time.Instant;

/**
 * An activity that the platform could not do.
 *
 * @param kind what was to be done
 * @param reason what the platform said, in one sentence
 * @param at the state time at which it was given up
 */
public record ActivityFailure(ActivityKind kind, String reason, Instant at) {}
