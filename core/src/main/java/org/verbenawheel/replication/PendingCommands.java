package org.verbenawheel.replication;

import java.time.Instant;
import java.util.Iterator;
import java.util.Map;
import java.util.NavigableMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentSkipListMap;
import org.verbenawheel.request.RunVerdict;

/**
 * The commands that this replica appended as leader and has not answered. Safe for use by many
 * threads.
 *
 * <p>Loss of leadership does not end one: what stands at its index once that is applied does.
 */
final class PendingCommands {
  private final NavigableMap<Long, Pending> pending = new ConcurrentSkipListMap<>();

  /** Adds a command at the place where it was appended. */
  void add(long index, long term, Instant deadline, CompletableFuture<CommandReply> reply) {
    Pending replaced = pending.put(index, new Pending(term, deadline, reply));
    if (replaced != null) {
      fail(replaced, RunVerdict.MAY_HAVE_RUN, "another leader may still commit the command");
    }
  }

  /** Answers the command at an applied index. */
  void onApplied(LogEntry entry, CommandReply reply) {
    Pending command = pending.remove(entry.index());
    if (command == null) {
      return;
    }
    if (command.term() == entry.term()) {
      command.reply().complete(reply);
      return;
    }
    fail(command, RunVerdict.NOT_RUN, "another leader's command took its place");
  }

  /** Fails a command whose index was applied and holds no command. */
  void onAppliedWithoutCommand(LogEntry entry) {
    Pending command = pending.remove(entry.index());
    if (command != null) {
      fail(command, RunVerdict.NOT_RUN, "another leader's entry took its place");
    }
  }

  /** Fails the commands up to an index, which a snapshot covered. */
  void onSnapshotInstalled(long index) {
    failAll(pending.headMap(index, true), "a snapshot took the place of its entry");
  }

  /** Fails the commands whose deadline passed. */
  void expire(Instant now) {
    Iterator<Pending> commands = pending.values().iterator();
    while (commands.hasNext()) {
      Pending command = commands.next();
      if (command.deadline().isBefore(now)) {
        commands.remove();
        fail(command, RunVerdict.MAY_HAVE_RUN, "no quorum committed it before its deadline");
      }
    }
  }

  /** Fails all commands, because the replica stops. */
  void stop() {
    failAll(pending, "the replica stopped before it was committed");
  }

  private static void failAll(Map<Long, Pending> commands, String message) {
    commands.values().forEach(command -> fail(command, RunVerdict.MAY_HAVE_RUN, message));
    commands.clear();
  }

  private static void fail(Pending command, RunVerdict verdict, String message) {
    command.reply().completeExceptionally(new CommandNotCommittedException(verdict, message));
  }

  private record Pending(long term, Instant deadline, CompletableFuture<CommandReply> reply) {}
}
