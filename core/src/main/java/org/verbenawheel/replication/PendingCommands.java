package org.verbenawheel.replication;

import java.time.Instant;
import java.util.Iterator;
import java.util.Map;
import java.util.NavigableMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentSkipListMap;
import org.verbenawheel.request.RunVerdict;

/**
 * The commands that this replica appended as leader and has not replied to. Thread-safe.
 *
 * <p>Losing leadership does not fail a command: whether it succeeded is known once the entry at its
 * index is applied.
 */
final class PendingCommands {
  private final NavigableMap<Long, Pending> pending = new ConcurrentSkipListMap<>();

  /** Adds a command at the index where it was appended; fails an earlier one at that index. */
  void add(long index, long term, Instant deadline, CompletableFuture<CommandReply> reply) {
    Pending replaced = pending.put(index, new Pending(term, deadline, reply));
    if (replaced != null) {
      fail(replaced, RunVerdict.MAY_HAVE_RUN, "another leader may still commit the command");
    }
  }

  /** Completes the command at an applied index; fails it if the entry is of another term. */
  void onApplied(LogEntry entry, CommandReply reply) {
    Pending command = pending.remove(entry.index());
    if (command == null) {
      return;
    }
    if (command.term() == entry.term()) {
      command.reply().complete(reply);
      return;
    }
    fail(command, RunVerdict.NOT_RUN, "another leader's command was committed at its index");
  }

  /** Fails the command at an index whose applied entry holds no command. */
  void onAppliedWithoutCommand(LogEntry entry) {
    Pending command = pending.remove(entry.index());
    if (command != null) {
      fail(command, RunVerdict.NOT_RUN, "another leader's entry was committed at its index");
    }
  }

  /** Fails the commands up to the index of an installed snapshot. */
  void onSnapshotInstalled(long index) {
    failAll(pending.headMap(index, true), "a snapshot from the leader replaced its entry");
  }

  /** Fails the commands whose deadline has passed. */
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
