package org.verbenawheel.command;

import org.verbenawheel.identity.CommandId;
import org.verbenawheel.operator.OperatorReply;

/**
 * What {@code --output json} prints of a command that changes something.
 *
 * @param commandId the command's identity
 * @param alreadyDone whether an earlier send of the same command had done it
 * @param reply what the system answered
 */
record CommandResult(CommandId commandId, boolean alreadyDone, OperatorReply reply) {}
