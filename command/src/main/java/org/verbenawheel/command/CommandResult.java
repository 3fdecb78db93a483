package org.verbenawheel.command;

import org.verbenawheel.identity.CommandId;
import org.verbenawheel.operator.OperatorReply;

/**
 * The JSON value that {@code --output json} prints for a command that changes state.
 *
 * @param commandId the command's identity
 * @param alreadyDone whether an earlier send of the same command had already been applied
 * @param reply the reply of the control process
 */
record CommandResult(CommandId commandId, boolean alreadyDone, OperatorReply reply) {}
