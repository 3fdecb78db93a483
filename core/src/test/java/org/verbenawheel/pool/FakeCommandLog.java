package org.verbenawheel.pool;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.verbenawheel.codec.MalformedMessageException;
import org.verbenawheel.codec.MessageCodec;
import org.verbenawheel.replication.ApplyContext;
import org.verbenawheel.replication.CommandEnvelope;
import org.verbenawheel.replication.CommandLog;
import org.verbenawheel.replication.CommandNotCommittedException;
import org.verbenawheel.replication.CommandReply;
import org.verbenawheel.replication.ControlCommand;
import org.verbenawheel.replication.DamagedSnapshotException;
import org.verbenawheel.replication.StatePart;
import org.verbenawheel.request.RunVerdict;

/**
 * An in-memory command log with one replica. It applies each command immediately, after a round
 * trip through the codec, and can simulate a crash with recovery from a snapshot and the later
 * commands.
 */
public final class FakeCommandLog implements CommandLog, InstantSource {
  private final MessageCodec codec;
  private final ImmutableList<StatePart> parts;
  private final List<byte[]> commands = new ArrayList<>();
  private final List<Instant> commitTimes = new ArrayList<>();
  private ImmutableMap<StatePart, byte[]> snapshot;
  private int snapshotIndex;
  private int submitsUntilFailure = Integer.MAX_VALUE;
  private Instant now = Instant.parse("2026-12-04T08:00:00Z");

  public FakeCommandLog(MessageCodec codec, StatePart... parts) {
    this.codec = codec;
    this.parts = ImmutableList.copyOf(parts);
    this.snapshot = takeSnapshot();
  }

  @Override
  public Instant instant() {
    return now;
  }

  public void advance(Duration duration) {
    now = now.plus(duration);
  }

  /** Lets the next {@code count} submits commit and fails all later ones without committing. */
  public void failSubmitsAfter(int count) {
    submitsUntilFailure = count;
  }

  @Override
  public CompletableFuture<CommandReply> submit(CommandEnvelope envelope) {
    if (submitsUntilFailure-- <= 0) {
      return CompletableFuture.failedFuture(
          new CommandNotCommittedException(RunVerdict.NOT_RUN, "no quorum: try again"));
    }
    return CompletableFuture.completedFuture(commit(envelope.command()));
  }

  /** Commits a command and returns its reply, encoded and decoded as for a remote sender. */
  public CommandReply commit(ControlCommand command) {
    commands.add(codec.encode(command));
    commitTimes.add(now);
    CommandReply reply = applyAt(commands.size() - 1);
    return decode(codec.encode(reply), CommandReply.class);
  }

  public void writeSnapshot() {
    snapshot = takeSnapshot();
    snapshotIndex = commands.size();
  }

  /** Restores every part from the last snapshot and reapplies the later commands. */
  public void crashAndRecover() {
    snapshot.forEach(FakeCommandLog::restore);
    for (int index = snapshotIndex; index < commands.size(); index++) {
      applyAt(index);
    }
  }

  private CommandReply applyAt(int index) {
    ControlCommand command = decode(commands.get(index), ControlCommand.class);
    StatePart part =
        parts.stream()
            .filter(candidate -> candidate.commandKinds().contains(command.getClass()))
            .findFirst()
            .orElseThrow();
    return part.apply(command, new ApplyContext(index + 1, commitTimes.get(index)));
  }

  private ImmutableMap<StatePart, byte[]> takeSnapshot() {
    return parts.stream().collect(ImmutableMap.toImmutableMap(part -> part, StatePart::snapshot));
  }

  private static void restore(StatePart part, byte[] bytes) {
    try {
      part.restore(bytes);
    } catch (DamagedSnapshotException damaged) {
      throw new AssertionError(damaged);
    }
  }

  private <T> T decode(byte[] bytes, Class<T> kind) {
    try {
      return kind.cast(codec.decode(bytes));
    } catch (MalformedMessageException malformed) {
      throw new AssertionError(malformed);
    }
  }
}
