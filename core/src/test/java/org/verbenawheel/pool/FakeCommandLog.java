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
 * A log of one replica in memory: applies each command at once, through the codec, and can crash
 * and come back from a snapshot and the commands after it.
 */
public final class FakeCommandLog implements CommandLog, InstantSource {
  private final MessageCodec codec;
  private final ImmutableList<StatePart> parts;
  private final List<byte[]> commands = new ArrayList<>();
  private final List<Instant> times = new ArrayList<>();
  private ImmutableMap<StatePart, byte[]> snapshot;
  private int snapshotIndex;
  private int commandsUntilCut = Integer.MAX_VALUE;
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

  /** Fails every submit after this many more, without committing. */
  public void cutAfter(int count) {
    commandsUntilCut = count;
  }

  @Override
  public CompletableFuture<CommandReply> submit(CommandEnvelope envelope) {
    if (commandsUntilCut-- <= 0) {
      return CompletableFuture.failedFuture(
          new CommandNotCommittedException(RunVerdict.NOT_RUN, "no quorum: try again"));
    }
    return CompletableFuture.completedFuture(commit(envelope.command()));
  }

  /** Commits a command and returns its reply as a sender reads it. */
  public CommandReply commit(ControlCommand command) {
    commands.add(codec.encode(command));
    times.add(now);
    CommandReply reply = applyAt(commands.size() - 1);
    return decode(codec.encode(reply), CommandReply.class);
  }

  public void writeSnapshot() {
    snapshot = takeSnapshot();
    snapshotIndex = commands.size();
  }

  /** Restores every part from the last snapshot and applies the commands after it again. */
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
    return part.apply(command, new ApplyContext(index + 1, times.get(index)));
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
