package org.verbenawheel.configuration;

import org.verbenawheel.identity.CommandId;

/**
 * An operator's request to apply a configuration.
 *
 * @param commandId identifies the request; a resend with the same ID gets the reply to the first
 * @param command the command to commit
 */
public record ConfigurationRequest(CommandId commandId, ApplyConfiguration command) {}
