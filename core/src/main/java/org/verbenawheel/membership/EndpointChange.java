package org.verbenawheel.membership;

import org.verbenawheel.event.Event;
import org.verbenawheel.identity.EndpointId;

/**
 * Something that happened to an endpoint at this entry, for the log.
 *
 * @param event what happened
 * @param endpoint the endpoint
 */
record EndpointChange(Event event, EndpointId endpoint) {}
