package org.verbenawheel.replication;

import java.util.Optional;
import org.verbenawheel.identity.CommandId;

/**
 * A command to commit, with its optional identity.
 *
 * @param commandId identifies an operator's command, so that a resend gets the first reply; empty
 *     for commands that are idempotent by their own contents, such as claims
 * @param command the command
 */
public record CommandEnvelope(Optional<CommandId> commandId, ControlCommand command) {}
