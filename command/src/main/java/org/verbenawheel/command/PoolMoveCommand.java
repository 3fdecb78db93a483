package org.verbenawheel.command;

import com.google.common.collect.ImmutableMap;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.TimeUnit;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.verbenawheel.identity.CommandId;
import org.verbenawheel.identity.HostName;
import org.verbenawheel.identity.PoolName;
import org.verbenawheel.operator.OperatorCommand;
import org.verbenawheel.operator.OperatorReply;
import org.verbenawheel.pool.Activity;
import org.verbenawheel.pool.HostRecord;
import org.verbenawheel.time.MonotonicInstantSource;

/** Moves a host to another pool and, with {@code --wait}, waits until the move has ended. */
final class PoolMoveCommand implements Command {
  private static final InstantSource CLOCK = MonotonicInstantSource.startingNow();
  private static final String WAIT = "wait";
  private static final String WAIT_SECONDS = "wait-seconds";
  private static final long DEFAULT_WAIT_SECONDS = 300;
  private static final long MAXIMUM_WAIT_SECONDS = 86_400;
  private static final long POLL_INTERVAL_MILLISECONDS = 500;

  @Override
  public CommandDefinition definition() {
    return CommandDefinition.of(
        "pool move",
        "Moves a host to another pool; it is drained first, so no request is interrupted.",
        new Options()
            .addOption(
                Option.builder()
                    .longOpt(WAIT)
                    .desc("shows each phase and waits until the move has ended")
                    .get())
            .addOption(
                GlobalOptions.optionWithValue(
                    WAIT_SECONDS, "seconds", "how long --wait waits; default: 300")),
        "host",
        "pool");
  }

  @Override
  public void run(CommandContext context) throws CommandFailedException {
    HostName name = Arguments.parseName(context.argument(0), HostName::new);
    PoolName target = Arguments.parseName(context.argument(1), PoolName::new);
    HostRecord host = Hosts.find(context.client(), name);
    CommandId commandId = context.commandId();
    boolean alreadyDone = isCurrentOrLast(host, commandId);
    OperatorReply reply =
        context
            .client()
            .command(
                OperatorCommand.MOVE_HOST,
                commandId,
                ImmutableMap.of("host", name, "target", target, "expectedVersion", host.version()));
    if (context.hasOption(WAIT)) {
      waitForEnd(context, name, target, commandId);
    }
    String text = alreadyDone ? "already done: " + reply.message() : reply.message();
    context.output().result(text, new CommandResult(commandId, alreadyDone, reply));
  }

  private static boolean isCurrentOrLast(HostRecord host, CommandId commandId) {
    return isCurrent(host, commandId)
        || host.lastActivity().filter(id -> id.value().equals(commandId.value())).isPresent();
  }

  private static boolean isCurrent(HostRecord host, CommandId commandId) {
    return host.activity()
        .filter(activity -> activity.id().value().equals(commandId.value()))
        .isPresent();
  }

  private static void waitForEnd(
      CommandContext context, HostName name, PoolName target, CommandId commandId)
      throws CommandFailedException {
    long seconds =
        context.numberOption(WAIT_SECONDS, 1, MAXIMUM_WAIT_SECONDS).orElse(DEFAULT_WAIT_SECONDS);
    Instant end = CLOCK.instant().plusSeconds(seconds);
    String shownPhase = "";
    HostRecord host = Hosts.find(context.client(), name);
    while (isCurrent(host, commandId)) {
      String phase = host.activity().map(Activity::phase).map(Object::toString).orElse("");
      if (!phase.equals(shownPhase)) {
        context.output().note("host " + name + ": " + phase);
        shownPhase = phase;
      }
      if (CLOCK.instant().isAfter(end)) {
        throw new CommandFailedException(
            ExitCode.NOT_KNOWN,
            "the move continues; host " + name + " is still " + phase,
            "see: verbenawheel host list; a control process without platformAddress powers no host"
                + " on or off");
      }
      pause();
      host = Hosts.find(context.client(), name);
    }
    if (!host.pool().equals(target)) {
      throw new CommandFailedException(
          ExitCode.REFUSED,
          "the move ended, but host " + name + " is in pool " + host.pool(),
          "it was cancelled or failed; see: verbenawheel host list");
    }
    context.output().note("host " + name + " is in pool " + target);
  }

  private static void pause() throws CommandFailedException {
    try {
      TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLISECONDS);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      throw new CommandFailedException(
          ExitCode.NOT_KNOWN, "interrupted while waiting", "see: verbenawheel host list");
    }
  }
}
