package org.verbenawheel.wave;

import static com.google.common.collect.ImmutableMap.toImmutableMap;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.verbenawheel.codec.MalformedMessageException;
import org.verbenawheel.codec.MessageCodec;
import org.verbenawheel.peer.MessageKinds;
import org.verbenawheel.peer.PeerMessage;
import org.verbenawheel.replication.ApplyContext;
import org.verbenawheel.replication.CommandReply;
import org.verbenawheel.replication.ControlCommand;
import org.verbenawheel.replication.DamagedSnapshotException;
import org.verbenawheel.replication.StatePart;
import org.verbenawheel.wave.WaveCommands.RecordUpkeep;
import org.verbenawheel.wave.WaveCommands.StartWave;
import org.verbenawheel.wave.WaveCommands.WavesChanged;

/** Holds the maintenance waves in the replicated state. */
public final class WaveRegistry implements StatePart {
  private static final int SNAPSHOT_KIND = 1;

  private final MessageCodec codec =
      new MessageCodec(MessageKinds.builder().add(SNAPSHOT_KIND, WavesSnapshot.class).build());
  private final Map<Long, Wave> waves = new LinkedHashMap<>();

  /** Returns the wave with a number, running or completed. */
  public Optional<Wave> find(long number) {
    return Optional.ofNullable(waves.get(number));
  }

  /** Returns the waves that are not completed. */
  public ImmutableList<Wave> running() {
    return waves.values().stream()
        .filter(wave -> !wave.isCompleted())
        .collect(ImmutableList.toImmutableList());
  }

  @Override
  public String name() {
    return "waves";
  }

  @Override
  public ImmutableSet<Class<? extends ControlCommand>> commandKinds() {
    return ImmutableSet.of(StartWave.class, RecordUpkeep.class);
  }

  @Override
  public CommandReply apply(ControlCommand command, ApplyContext context) {
    if (command instanceof StartWave start) {
      waves.computeIfAbsent(start.number(), number -> newWave(start, context));
    } else if (command instanceof RecordUpkeep upkeep) {
      waves.computeIfPresent(upkeep.number(), (number, wave) -> advance(wave, upkeep));
    }
    return new WavesChanged();
  }

  private static Wave newWave(StartWave start, ApplyContext context) {
    return new Wave(
        start.number(),
        context.stateTime().plusMillis(start.deadlineMilliseconds()),
        start.maximumDown(),
        ImmutableSet.copyOf(start.hosts()).stream()
            .collect(toImmutableMap(host -> host, host -> UpkeepPhase.PENDING)));
  }

  private static Wave advance(Wave wave, RecordUpkeep upkeep) {
    UpkeepPhase current = wave.hosts().get(upkeep.host());
    boolean isForward = current != null && current.compareTo(upkeep.phase()) < 0;
    return isForward ? wave.withPhase(upkeep.host(), upkeep.phase()) : wave;
  }

  @Override
  public byte[] snapshot() {
    return codec.encode(new WavesSnapshot(ImmutableList.copyOf(waves.values())));
  }

  @Override
  public void restore(byte[] snapshot) throws DamagedSnapshotException {
    waves.clear();
    try {
      ((WavesSnapshot) codec.decode(snapshot))
          .waves()
          .forEach(wave -> waves.put(wave.number(), wave));
    } catch (MalformedMessageException malformed) {
      throw new DamagedSnapshotException(
          "the waves in the snapshot cannot be read; replace this replica", malformed);
    }
  }

  @Override
  public Object dump() {
    return ImmutableList.copyOf(waves.values());
  }

  /** The form of this part in a snapshot. */
  record WavesSnapshot(ImmutableList<Wave> waves) implements PeerMessage {}
}
