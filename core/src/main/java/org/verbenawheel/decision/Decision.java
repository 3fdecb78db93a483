package org.verbenawheel.decision;

import com.google.common.collect.ImmutableMap;
import java.time.Instant;

/**
 * One decision with the inputs that led to it, so that it can be explained after the fact.
 *
 * @param at when it was made
 * @param topic what kind of decision, for example {@code routing} or {@code capacity}
 * @param subject what it was about: a request, a host, a wave
 * @param outcome what was decided
 * @param reason why, in one sentence
 * @param inputs the values that were weighed
 */
public record Decision(
    Instant at,
    String topic,
    String subject,
    String outcome,
    String reason,
    ImmutableMap<String, String> inputs) {}
