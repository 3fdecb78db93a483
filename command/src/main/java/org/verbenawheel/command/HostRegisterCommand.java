package org.verbenawheel.command;

import com.google.common.collect.ImmutableMap;
import org.apache.commons.cli.Options;
import org.verbenawheel.identity.CommandId;
import org.verbenawheel.operator.OperatorCommand;
import org.verbenawheel.operator.OperatorReply;

/** Registers a host into a pool. */
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
        "Registers a host into a pool; the same again changes nothing.",
        new Options()
            .addOption(GlobalOptions.valued(POOL, "pool", "the pool; must be given"))
            .addOption(GlobalOptions.valued(AVAILABILITY_ZONE, "zone", "its zone; must be given"))
            .addOption(GlobalOptions.valued(REGION, "region", "its region; must be given"))
            .addOption(GlobalOptions.valued(RACK, "rack", "its rack; must be given"))
            .addOption(GlobalOptions.valued(PROCESSORS, "count", "processors; must be given"))
            .addOption(GlobalOptions.valued(MEMORY_MEBIBYTES, "MiB", "memory; must be given"))
            .addOption(GlobalOptions.valued(ACCELERATORS, "count", "0 when not given"))
            .addOption(
                GlobalOptions.valued(
                    CONDITION, "in_service|off|lost", "its condition now; off when not given")),
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
