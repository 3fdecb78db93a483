package org.verbenawheel.membership;

import org.verbenawheel.event.Event;
import org.verbenawheel.identity.EndpointId;

/** A change of an endpoint that {@link MembershipNode} logs at this entry. */
record EndpointChange(Event event, EndpointId endpoint) {}
