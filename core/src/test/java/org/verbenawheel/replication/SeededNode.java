package org.verbenawheel.replication;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.replication.ReplicationMessage.SnapshotChunk;
import org.verbenawheel.storage.FakeFolder;
import org.verbenawheel.storage.FramedFile;
import org.verbenawheel.storage.StorageException;

/** One replica of {@link SeededCluster}, with a simulated disk that is slow and may be lost. */
final class SeededNode {
  static final ReplicationTimings TIMINGS =
      new ReplicationTimings(Duration.ofMillis(50), Duration.ofMillis(300), Duration.ofMillis(240));

  private static final int SNAPSHOT_INTERVAL = 25;
  private static final int CHUNK_BYTES = 100;

  private final SeededCluster cluster;
  private final ProcessId process;
  private final Map<Long, Proposed> pending = new HashMap<>();
  private final Map<Long, SeededRead> reads = new HashMap<>();
  private final Deque<DiskTask> diskTasks = new ArrayDeque<>();
  private FakeFolder folder = new FakeFolder();
  private ReplicaStore store;
  private Replica replica;
  private AppendedList list = new AppendedList();
  private StateMachine machine = new StateMachine(ImmutableList.of(list), AppendedList.CODEC);
  private int incarnation;
  private boolean up;
  private boolean diskBusy;
  private long lastSnapshot;

  SeededNode(SeededCluster cluster, ProcessId process) {
    this.cluster = cluster;
    this.process = process;
    this.store = open();
    this.replica = start();
  }

  private ReplicaStore open() {
    try {
      return ReplicaStore.open(folder);
    } catch (StorageException unusable) {
      throw new IllegalStateException(process + " cannot start: " + unusable, unusable);
    }
  }

  private Replica start() {
    incarnation++;
    up = true;
    diskBusy = false;
    diskTasks.clear();
    pending.clear();
    reads.clear();
    list = new AppendedList();
    machine = new StateMachine(ImmutableList.of(list), AppendedList.CODEC);
    restoreSnapshot();
    lastSnapshot = machine.applied().index();
    RecoveredState recovered = store.recovered();
    HardState hardState =
        cluster.variant() == Variant.FORGETS_VOTE
            ? new HardState(
                Math.min(1, recovered.hardState().term()),
                Optional.empty(),
                recovered.hardState().cluster())
            : recovered.hardState();
    return new Replica(
        new Member(process, store.identity()),
        new ClusterRules(
            ImmutableSortedSet.copyOf(cluster.voters()), true, 9, Duration.ofSeconds(1_000)),
        TIMINGS,
        new Random(cluster.random().nextLong()),
        new RecoveredState(hardState, recovered.snapshot(), recovered.entries()),
        cluster.now());
  }

  private void restoreSnapshot() {
    try {
      Optional<byte[]> snapshot = store.loadSnapshotBytes();
      if (snapshot.isPresent()) {
        machine.restore(store.snapshotPoint(), snapshot.get());
      }
    } catch (StorageException | DamagedSnapshotException unusable) {
      throw new IllegalStateException(unusable);
    }
  }

  /** Stops the replica as a power loss does: unsynced bytes may be lost. */
  void crash() {
    up = false;
    incarnation++;
    folder.crash(cluster.random());
  }

  /** Starts the replica from its disk. */
  void restart() {
    store = open();
    replica = start();
  }

  /** Starts the replica with an empty folder. */
  void restartOnEmptyFolder() {
    ReplicaId oldIdentity = store.identity();
    folder = new FakeFolder();
    if (cluster.variant() == Variant.LOST_FOLDER_KEEPS_IDENTITY) {
      cluster
          .founding()
          .ifPresent(founding -> writeFoundingStateWithOldIdentity(oldIdentity, founding));
    }
    restart();
  }

  /** Writes what a replica would that takes its members and its identity from the settings. */
  private void writeFoundingStateWithOldIdentity(ReplicaId oldIdentity, LogEntry founding) {
    byte[] identity = oldIdentity.value().getBytes(StandardCharsets.UTF_8);
    try {
      FramedFile.write(folder, "identity", ImmutableList.of(identity));
      ReplicaStore newStore = ReplicaStore.open(folder);
      ClusterId cluster = ReplicationMessages.membersOf(founding).cluster();
      newStore.writeHardState(new HardState(1, Optional.empty(), Optional.of(cluster)));
      newStore.append(ImmutableList.of(founding));
      newStore.sync();
    } catch (StorageException impossible) {
      throw new IllegalStateException(impossible);
    }
  }

  ProcessId process() {
    return process;
  }

  boolean isUp() {
    return up;
  }

  ReplicaStatus status() {
    return replica.status();
  }

  long appliedIndex() {
    return machine.applied().index();
  }

  ImmutableList<String> values() {
    return list.values();
  }

  void tick() {
    run(replica.onTick(cluster.now()));
  }

  void receive(ProcessId from, ReplicationMessage message) {
    run(replica.onMessage(cluster.now(), from, message));
  }

  /** Proposes a command; has no effect if this node does not lead. */
  void propose(SeededCommand command) {
    ProposalOutcome outcome =
        replica.propose(cluster.now(), ImmutableList.of(command.payload(cluster.variant())));
    outcome
        .position()
        .ifPresent(
            position -> pending.put(position.index(), new Proposed(command, position.term())));
    run(outcome.effects());
  }

  void read(SeededRead read) {
    if (cluster.variant() == Variant.READS_WITHOUT_PROOF) {
      if (replica.status().role() == Role.LEADER) {
        cluster.onRead(read, list.values());
      }
      return;
    }
    reads.put(read.token(), read);
    run(replica.readIndex(cluster.now(), read.token()));
  }

  private void run(ImmutableList<Effect> effects) {
    effects.forEach(this::run);
  }

  private void run(Effect effect) {
    if (effect instanceof Effect.Send send) {
      cluster.send(process, send.to(), send.message());
    } else if (effect instanceof Effect.Durable durable) {
      onDurable(durable);
    } else if (effect instanceof Effect.Apply apply) {
      apply.entries().forEach(this::apply);
      snapshotIfDue();
    } else if (effect instanceof Effect.SendSnapshotChunk chunk) {
      sendChunk(chunk);
    } else if (effect instanceof Effect.CompactLog compact) {
      addDiskTask(0, store -> store.compact(compact.index()));
    } else if (effect instanceof Effect.AnswerReads answer) {
      answer.tokens().forEach(token -> answerRead(token));
    }
  }

  private void answerRead(long token) {
    Optional.ofNullable(reads.remove(token)).ifPresent(read -> cluster.onRead(read, list.values()));
  }

  private void onDurable(Effect.Durable durable) {
    if (durable instanceof Effect.InstallSnapshot install) {
      install(install);
    }
    addDiskTask(durable.sequence(), target -> write(target, durable));
    if (cluster.variant() == Variant.ACKNOWLEDGES_BEFORE_SYNC) {
      run(replica.onPersisted(cluster.now(), durable.sequence()));
    }
  }

  private static void write(ReplicaStore store, Effect.Durable durable) throws StorageException {
    if (durable instanceof Effect.PersistEntries persist) {
      store.append(persist.entries());
    } else if (durable instanceof Effect.PersistHardState persist) {
      store.writeHardState(persist.state());
    } else if (durable instanceof Effect.InstallSnapshot install) {
      store.install(install);
    }
  }

  private void install(Effect.InstallSnapshot install) {
    try {
      machine.restore(install.point(), install.state().bytes());
    } catch (DamagedSnapshotException damaged) {
      throw new IllegalStateException(damaged);
    }
    lastSnapshot = install.point().index();
    pending.clear();
  }

  private void addDiskTask(long sequence, StorageThread.StorageAction action) {
    diskTasks.add(new DiskTask(sequence, action));
    startWriteIfIdle();
  }

  /** Schedules the write of all queued tasks; their sync follows after another delay. */
  private void startWriteIfIdle() {
    if (diskBusy || diskTasks.isEmpty()) {
      return;
    }
    diskBusy = true;
    int writingIncarnation = incarnation;
    cluster.after(cluster.diskDelay(), () -> writeAll(writingIncarnation));
  }

  private void writeAll(int writingIncarnation) {
    if (writingIncarnation != incarnation) {
      return;
    }
    long lastSequence = 0;
    for (DiskTask task : ImmutableList.copyOf(diskTasks)) {
      diskTasks.remove(task);
      lastSequence = Math.max(lastSequence, task.sequence());
      perform(task.action());
    }
    long synced = lastSequence;
    cluster.after(cluster.diskDelay(), () -> sync(writingIncarnation, synced));
  }

  private void perform(StorageThread.StorageAction action) {
    try {
      action.run(store);
    } catch (StorageException failed) {
      throw new IllegalStateException(failed);
    }
  }

  private void sync(int writingIncarnation, long sequence) {
    if (writingIncarnation != incarnation) {
      return;
    }
    perform(ReplicaStore::sync);
    diskBusy = false;
    run(replica.onPersisted(cluster.now(), sequence));
    startWriteIfIdle();
  }

  private void apply(LogEntry entry) {
    Optional<CommandReply> reply = machine.apply(entry);
    Proposed proposed = pending.remove(entry.index());
    if (proposed != null && proposed.term() == entry.term()) {
      reply.ifPresent(proposed.command()::onReply);
    }
  }

  private void snapshotIfDue() {
    SnapshotPoint point = machine.applied();
    if (point.index() - lastSnapshot < SNAPSHOT_INTERVAL) {
      return;
    }
    lastSnapshot = point.index();
    byte[] snapshot = machine.snapshot();
    addDiskTask(
        0,
        target -> {
          target.writeSnapshot(point, snapshot);
          run(replica.onSnapshotWritten(point.index()));
        });
  }

  private void sendChunk(Effect.SendSnapshotChunk effect) {
    SnapshotChunk chunk = effect.chunk();
    perform(
        target -> {
          if (target.snapshotPoint().index() != chunk.point().index()) {
            return;
          }
          byte[] snapshot = target.loadSnapshotBytes().orElseThrow();
          byte[] part = target.chunk(snapshot, chunk.offset(), CHUNK_BYTES);
          SnapshotChunk filled =
              new SnapshotChunk(
                  chunk.header(),
                  target.snapshotPoint(),
                  chunk.offset(),
                  snapshot.length,
                  Payload.of(part),
                  chunk.sentAt());
          cluster.send(process, effect.to(), filled);
        });
  }

  ReplicaId identity() {
    return store.identity();
  }

  private record Proposed(SeededCommand command, long term) {}

  private record DiskTask(long sequence, StorageThread.StorageAction action) {}
}
