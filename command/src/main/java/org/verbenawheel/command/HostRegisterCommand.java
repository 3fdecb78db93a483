package org.verbenawheel.command;

import com.google.common.collect.ImmutableMap;
import org.apache.commons.cli.Options;
import org.verbenawheel.identity.CommandId;
import org.verbenawheel.operator.OperatorCommand;
import org.verbenawheel.operator.OperatorReply;

/** Registers a host in a pool. */
final class HostRegisterCommand implements Command {
  private static final String POOL = "pool";
  private static final String AVAILABILITY_ZONE = "availability-zone";
  private static final String REGION = "region";
  private static final String RACK = "rack";
  private static final String PROCESSORS = "processors";
  private static final String MEMORY_MEBIBYTES = "memory-mebibytes";
  private static final String ACCELERATORS = "accelerators";
  private static final String CONDITION = "condition";

  @Override
  public CommandDefinition definition() {
    return CommandDefinition.of(
        "host register",
        "Registers a host in a pool; registering it again unchanged has no effect.",
        new Options()
            .addOption(GlobalOptions.optionWithValue(POOL, "pool", "the pool; required"))
            .addOption(
                GlobalOptions.optionWithValue(AVAILABILITY_ZONE, "zone", "its zone; required"))
            .addOption(GlobalOptions.optionWithValue(REGION, "region", "its region; required"))
            .addOption(GlobalOptions.optionWithValue(RACK, "rack", "its rack; required"))
            .addOption(GlobalOptions.optionWithValue(PROCESSORS, "count", "processors; required"))
            .addOption(GlobalOptions.optionWithValue(MEMORY_MEBIBYTES, "MiB", "memory; required"))
            .addOption(
                GlobalOptions.optionWithValue(ACCELERATORS, "count", "accelerators; default: 0"))
            .addOption(
                GlobalOptions.optionWithValue(
                    CONDITION, "in_service|off|lost", "its current condition; default: off")),
        "host");
  }

  @Override
  public void run(CommandContext context) throws CommandFailedException {
    ImmutableMap<String, Object> fields =
        ImmutableMap.<String, Object>builder()
            .put("host", context.argument(0))
            .put("pool", context.requiredOption(POOL))
            .put("availabilityZone", context.requiredOption(AVAILABILITY_ZONE))
            .put("region", context.requiredOption(REGION))
            .put("rack", context.requiredOption(RACK))
            .put("processors", context.requiredNumberOption(PROCESSORS, 0, Integer.MAX_VALUE))
            .put(
                "memoryMebibytes",
                context.requiredNumberOption(MEMORY_MEBIBYTES, 0, Integer.MAX_VALUE))
            .put(
                "accelerators", context.numberOption(ACCELERATORS, 0, Integer.MAX_VALUE).orElse(0L))
            .put("condition", context.option(CONDITION).orElse("off"))
            .buildOrThrow();
    CommandId commandId = context.commandId();
    OperatorReply reply =
        context.client().command(OperatorCommand.REGISTER_HOST, commandId, fields);
    context.output().result(reply.message(), new CommandResult(commandId, false, reply));
  }
}
