package org.verbenawheel.worker;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.LinkedHashMultimap;
import com.google.common.collect.SetMultimap;
import com.google.common.collect.Sets;
import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.verbenawheel.codec.MalformedMessageException;
import org.verbenawheel.codec.MessageCodec;
import org.verbenawheel.peer.MessageKinds;
import org.verbenawheel.peer.PeerMessage;
import org.verbenawheel.replication.ApplyContext;
import org.verbenawheel.replication.CommandReply;
import org.verbenawheel.replication.ControlCommand;
import org.verbenawheel.replication.DamagedSnapshotException;
import org.verbenawheel.replication.StatePart;
import org.verbenawheel.worker.WorkerCommands.EndWorker;
import org.verbenawheel.worker.WorkerCommands.ForgetWorker;
import org.verbenawheel.worker.WorkerCommands.RecordWorker;
import org.verbenawheel.worker.WorkerCommands.WorkersChanged;

/** Holds the workers in the replicated state, so a new leader can send commands to them at once. */
public final class WorkerRegistry implements StatePart {
  /** How long the end of a worker is kept: much longer than a report can be delayed. */
  private static final Duration ENDED_RETENTION = Duration.ofMinutes(10);

  /** The maximum number of ended workers; the earliest recorded ones are forgotten first. */
  private static final int MAXIMUM_ENDED = 20_000;

  private static final int SNAPSHOT_KIND = 1;

  private final MessageCodec codec =
      new MessageCodec(MessageKinds.builder().add(SNAPSHOT_KIND, WorkersSnapshot.class).build());
  private final Map<String, Worker> workers = new LinkedHashMap<>();
  private final SetMultimap<String, Worker> workersByAddress = LinkedHashMultimap.create();
  private final SetMultimap<String, Worker> workersByHost = LinkedHashMultimap.create();
  private final Map<String, EndedWorker> ended = new LinkedHashMap<>();

  /** Returns the worker with an id, or empty if none is registered. */
  public Optional<Worker> find(String id) {
    return Optional.ofNullable(workers.get(id));
  }

  /** Returns all workers, as a copy. */
  public ImmutableList<Worker> all() {
    return ImmutableList.copyOf(workers.values());
  }

  /**
   * Returns the other registered workers with the same address or host, as a copy. An address and a
   * host have one worker each, so at most one of them is still alive.
   */
  public ImmutableList<Worker> conflictingWith(Worker worker) {
    Set<Worker> atAddress = workersByAddress.get(worker.address());
    Set<Worker> onHost =
        worker.host().isEmpty() ? ImmutableSet.of() : workersByHost.get(worker.host());
    return Sets.union(atAddress, onHost).stream()
        .filter(other -> !other.id().equals(worker.id()))
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns whether a report describes an incarnation that is known to have ended. */
  public boolean hasEnded(Worker reported) {
    EndedWorker end = ended.get(reported.id());
    return end != null && reported.bornAtMilliseconds() <= end.bornAtMilliseconds();
  }

  @Override
  public String name() {
    return "workers";
  }

  @Override
  public ImmutableSet<Class<? extends ControlCommand>> commandKinds() {
    return ImmutableSet.of(RecordWorker.class, ForgetWorker.class, EndWorker.class);
  }

  @Override
  public CommandReply apply(ControlCommand command, ApplyContext context) {
    if (command instanceof RecordWorker recorded) {
      putIfNotOlder(recorded.worker());
    } else if (command instanceof ForgetWorker forgotten) {
      remove(forgotten.id(), forgotten.bornAtMilliseconds());
    } else if (command instanceof EndWorker end) {
      remove(end.id(), end.bornAtMilliseconds());
      recordEnd(new EndedWorker(end.id(), end.bornAtMilliseconds(), context.stateTime()));
    }
    return new WorkersChanged();
  }

  private void remove(String id, long bornAtMilliseconds) {
    find(id)
        .filter(current -> current.bornAtMilliseconds() <= bornAtMilliseconds)
        .ifPresent(this::remove);
  }

  private void remove(Worker worker) {
    workers.remove(worker.id());
    workersByAddress.remove(worker.address(), worker);
    workersByHost.remove(worker.host(), worker);
  }

  private void recordEnd(EndedWorker end) {
    if (end.bornAtMilliseconds() == 0) {
      return;
    }
    Instant oldest = end.endedAt().minus(ENDED_RETENTION);
    ended.values().removeIf(earlier -> earlier.endedAt().isBefore(oldest));
    ended.merge(
        end.id(),
        end,
        (known, added) -> known.bornAtMilliseconds() > added.bornAtMilliseconds() ? known : added);
    if (ended.size() > MAXIMUM_ENDED) {
      ended.remove(ended.keySet().iterator().next());
    }
  }

  private void putIfNotOlder(Worker worker) {
    Worker current = workers.get(worker.id());
    boolean older = current != null && current.bornAtMilliseconds() > worker.bornAtMilliseconds();
    if (!older && !hasEnded(worker)) {
      find(worker.id()).ifPresent(this::remove);
      workers.put(worker.id(), worker);
      workersByAddress.put(worker.address(), worker);
      workersByHost.put(worker.host(), worker);
    }
  }

  @Override
  public byte[] snapshot() {
    return codec.encode(new WorkersSnapshot(all(), ImmutableList.copyOf(ended.values())));
  }

  @Override
  public void restore(byte[] snapshot) throws DamagedSnapshotException {
    workers.clear();
    workersByAddress.clear();
    workersByHost.clear();
    ended.clear();
    try {
      WorkersSnapshot restored = (WorkersSnapshot) codec.decode(snapshot);
      restored.ended().forEach(end -> ended.put(end.id(), end));
      restored.workers().forEach(this::putIfNotOlder);
    } catch (MalformedMessageException malformed) {
      throw new DamagedSnapshotException(
          "the workers in the snapshot cannot be read; replace this replica", malformed);
    }
  }

  @Override
  public Object dump() {
    return ImmutableMap.copyOf(workers);
  }

  /**
   * The form of this part in a snapshot.
   *
   * @param workers all registered workers
   * @param ended the workers that ended recently; absent in snapshots of earlier versions
   */
  record WorkersSnapshot(ImmutableList<Worker> workers, @Nullable ImmutableList<EndedWorker> ended)
      implements PeerMessage {
    @Override
    public ImmutableList<EndedWorker> ended() {
      return ended == null ? ImmutableList.of() : ended;
    }
  }

  /**
   * An incarnation of a worker that has ended.
   *
   * @param id the worker's id
   * @param bornAtMilliseconds the start of the incarnation, in milliseconds since 1970 by the
   *     worker's clock
   * @param endedAt when the end was recorded, by the clock of the leader at that time
   */
  record EndedWorker(String id, long bornAtMilliseconds, Instant endedAt) {}
}
