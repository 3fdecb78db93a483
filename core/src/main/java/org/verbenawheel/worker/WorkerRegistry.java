package org.verbenawheel.worker;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
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
import org.verbenawheel.worker.WorkerCommands.ForgetWorker;
import org.verbenawheel.worker.WorkerCommands.RecordWorker;
import org.verbenawheel.worker.WorkerCommands.WorkersChanged;

/** Holds the workers in the replicated state, so a new leader can send commands to them at once. */
public final class WorkerRegistry implements StatePart {
  private static final int SNAPSHOT_KIND = 1;

  private final MessageCodec codec =
      new MessageCodec(MessageKinds.builder().add(SNAPSHOT_KIND, WorkersSnapshot.class).build());
  private final Map<String, Worker> workers = new LinkedHashMap<>();

  /** Returns the worker with an id, or empty if none is registered. */
  public Optional<Worker> find(String id) {
    return Optional.ofNullable(workers.get(id));
  }

  /** Returns all workers, as a copy. */
  public ImmutableList<Worker> all() {
    return ImmutableList.copyOf(workers.values());
  }

  @Override
  public String name() {
    return "workers";
  }

  @Override
  public ImmutableSet<Class<? extends ControlCommand>> commandKinds() {
    return ImmutableSet.of(RecordWorker.class, ForgetWorker.class);
  }

  @Override
  public CommandReply apply(ControlCommand command, ApplyContext context) {
    if (command instanceof RecordWorker recorded) {
      putIfNotOlder(recorded.worker());
    } else if (command instanceof ForgetWorker forgotten) {
      find(forgotten.id())
          .filter(current -> current.bornAtMilliseconds() <= forgotten.bornAtMilliseconds())
          .ifPresent(current -> workers.remove(current.id()));
    }
    return new WorkersChanged();
  }

  private void putIfNotOlder(Worker worker) {
    Worker current = workers.get(worker.id());
    if (current == null || current.bornAtMilliseconds() <= worker.bornAtMilliseconds()) {
      workers.put(worker.id(), worker);
    }
  }

  @Override
  public byte[] snapshot() {
    return codec.encode(new WorkersSnapshot(all()));
  }

  @Override
  public void restore(byte[] snapshot) throws DamagedSnapshotException {
    workers.clear();
    try {
      ((WorkersSnapshot) codec.decode(snapshot)).workers().forEach(this::putIfNotOlder);
    } catch (MalformedMessageException malformed) {
      throw new DamagedSnapshotException(
          "the workers in the snapshot cannot be read; replace this replica", malformed);
    }
  }

  @Override
  public Object dump() {
    return ImmutableMap.copyOf(workers);
  }

  /** All registered workers, as stored in a snapshot. */
  record WorkersSnapshot(ImmutableList<Worker> workers) implements PeerMessage {}
}
