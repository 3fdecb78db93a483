package org.verbenawheel.membership;

import com.google.common.collect.ImmutableList;

/**
 * Output of {@link EndpointMembership} that {@link MembershipNode} carries out.
 *
 * @param messages to send, in order
 * @param changes to log
 */
record MembershipEffects(
    ImmutableList<OutgoingMessage> messages, ImmutableList<EndpointChange> changes) {}
