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

/** Moves a host to another pool and, if asked, waits until it is there. */
final class PoolMoveCommand implements Command {
  private static final InstantSource CLOCK = MonotonicInstantSource.startingNow();
  private static final String WAIT = "wait";
  private static final String WAIT_SECONDS = "wait-seconds";
  private static final long DEFAULT_WAIT_SECONDS = 300;
  private static final long MAXIMUM_WAIT_SECONDS = 86_400;
  private static final long PAUSE_MILLISECONDS = 500;

  @Override
  public CommandDefinition definition() {
    return CommandDefinition.of(
        "pool move",
        "Moves a host to another pool: it drains first and cuts off no request.",
        new Options()
            .addOption(
                Option.builder()
                    .longOpt(WAIT)
                    .desc("shows each phase and ends when the move has ended")
                    .get())
            .addOption(
                GlobalOptions.valued(
                    WAIT_SECONDS, "seconds", "how long --wait waits; 300 when not given")),
        "host",
        "pool");
  }

  @Override
  public void run(CommandContext context) throws CommandFailedException {
    HostName name = Arguments.name(context.argument(0), HostName::new);
    PoolName target = Arguments.name(context.argument(1), PoolName::new);
    HostRecord host = Hosts.find(context.client(), name);
    CommandId commandId = context.commandId();
    boolean alreadyDone = knows(host, commandId);
    OperatorReply reply =
        context
            .client()
            .command(
                OperatorCommand.MOVE_HOST,
                commandId,
                ImmutableMap.of("host", name, "target", target, "expectedVersion", host.version()));
    if (context.has(WAIT)) {
      waitForEnd(context, name, target, commandId);
    }
    String text = alreadyDone ? "already done: " + reply.message() : reply.message();
    context.output().result(text, new CommandResult(commandId, alreadyDone, reply));
  }

  private static boolean knows(HostRecord host, CommandId commandId) {
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
    String shown = "";
    HostRecord host = Hosts.find(context.client(), name);
    while (isCurrent(host, commandId)) {
      String phase = host.activity().map(Activity::phase).map(Object::toString).orElse("");
      if (!phase.equals(shown)) {
        context.output().note("host " + name + ": " + phase);
        shown = phase;
      }
      if (CLOCK.instant().isAfter(end)) {
        throw new CommandFailedException(
            ExitCode.NOT_KNOWN,
            "the move goes on; host " + name + " is still " + phase,
            "see: verbenawheel host list; a control process without platformAddress switches no"
                + " host");
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
      TimeUnit.MILLISECONDS.sleep(PAUSE_MILLISECONDS);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      throw new CommandFailedException(
          ExitCode.NOT_KNOWN, "interrupted while waiting", "see: verbenawheel host list");
    }
  }
}
