package org.verbenawheel.decision;

import com.google.common.collect.ImmutableMap;
import java.time.Instant;

/**
 * A decision and the inputs that led to it, recorded so that an operator can see its reasons later.
 *
 * @param at when it was made
 * @param topic the kind of decision, for example {@code routing} or {@code capacity}
 * @param subject what it is about, for example a request, a host or a wave
 * @param outcome what was decided
 * @param reason the reason in one sentence
 * @param inputs the values that the decision is based on, by name
 */
public record Decision(
    Instant at,
    String topic,
    String subject,
    String outcome,
    String reason,
    ImmutableMap<String, String> inputs) {}
