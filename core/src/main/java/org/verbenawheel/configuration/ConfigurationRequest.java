package org.verbenawheel.configuration;

import org.verbenawheel.identity.CommandId;

/**
 * Holds an operator's request to apply a configuration.
 *
 * @param commandId identifies the request, so that a resend gets the first reply
 * @param command what to apply
 */
public record ConfigurationRequest(CommandId commandId, ApplyConfiguration command) {}
