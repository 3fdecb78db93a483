package org.verbenawheel.command;

import com.google.common.collect.ImmutableMap;
import java.util.Arrays;
import org.apache.commons.cli.Options;
import org.jspecify.annotations.Nullable;
import org.verbenawheel.configuration.Configuration;
import org.verbenawheel.configuration.Configurations;
import org.verbenawheel.configuration.PoolRole;
import org.verbenawheel.configuration.PoolSettings;
import org.verbenawheel.configuration.VersionedConfiguration;
import org.verbenawheel.identity.PoolName;

/** Adds a pool to the current configuration; succeeds if the same pool already exists. */
final class PoolCreateCommand implements Command {
  private static final String ROLE = "role";
  private static final String MINIMUM_HOSTS = "minimum-hosts";
  private static final String MAXIMUM_HOSTS = "maximum-hosts";

  @Override
  public CommandDefinition definition() {
    return CommandDefinition.of(
        "pool create",
        "Adds a pool to the configuration.",
        new Options()
            .addOption(
                GlobalOptions.optionWithValue(
                    ROLE, "serving|spare", "the role of its hosts; required"))
            .addOption(
                GlobalOptions.optionWithValue(
                    MINIMUM_HOSTS, "count", "hosts to keep powered at least; default: 0"))
            .addOption(
                GlobalOptions.optionWithValue(
                    MAXIMUM_HOSTS, "count", "hosts that it may hold at most; required")),
        "pool");
  }

  @Override
  public void run(CommandContext context) throws CommandFailedException {
    PoolSettings pool = readPool(context);
    VersionedConfiguration current = context.client().configuration();
    @Nullable PoolSettings existing = current.configuration().pools().get(pool.name());
    if (pool.equals(existing)) {
      context.output().result("already done: pool " + pool.name() + " already exists", pool);
      return;
    }
    if (existing != null) {
      throw new CommandFailedException(
          ExitCode.REFUSED,
          "pool " + pool.name() + " already exists with other settings: " + existing,
          "change it with: verbenawheel configuration apply <file>");
    }
    ConfigurationChanges.apply(context, current.version(), withPool(current.configuration(), pool));
  }

  private static PoolSettings readPool(CommandContext context) throws CommandFailedException {
    long hostLimit = Configurations.MAXIMUM_HOSTS_PER_POOL;
    return new PoolSettings(
        Arguments.parseName(context.argument(0), PoolName::new),
        readRole(context.requiredOption(ROLE)),
        Math.toIntExact(context.numberOption(MINIMUM_HOSTS, 0, hostLimit).orElse(0L)),
        Math.toIntExact(context.requiredNumberOption(MAXIMUM_HOSTS, 1, hostLimit)));
  }

  private static PoolRole readRole(String text) throws CommandFailedException {
    return Arrays.stream(PoolRole.values())
        .filter(role -> role.name().equalsIgnoreCase(text))
        .findFirst()
        .orElseThrow(
            () ->
                new CommandFailedException(
                    ExitCode.BAD_INPUT, "--role: found " + text, "give serving or spare"));
  }

  private static Configuration withPool(Configuration configuration, PoolSettings pool) {
    return new Configuration(
        configuration.deployment(),
        configuration.services(),
        ImmutableMap.<PoolName, PoolSettings>builder()
            .putAll(configuration.pools())
            .put(pool.name(), pool)
            .buildOrThrow());
  }
}
