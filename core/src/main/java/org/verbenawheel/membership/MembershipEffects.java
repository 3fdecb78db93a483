package org.verbenawheel.membership;

import com.google.common.collect.ImmutableList;

/**
 * What decisions want done.
 *
 * @param messages to send, in order
 * @param changes to log
 */
record MembershipEffects(
    ImmutableList<OutgoingMessage> messages, ImmutableList<EndpointChange> changes) {}
