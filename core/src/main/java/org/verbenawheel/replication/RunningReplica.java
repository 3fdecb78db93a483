package org.verbenawheel.replication;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.verbenawheel.event.Event;
import org.verbenawheel.event.EventLine;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.peer.PeerLinks;
import org.verbenawheel.replication.ProposalQueue.Proposal;
import org.verbenawheel.storage.DataFolder;
import org.verbenawheel.storage.StorageException;

/**
 * A replica from its start to its stop. Owns the thread that drives {@link Replica}, and the
 * threads that write to disk and that apply entries to the state.
 */
final class RunningReplica {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int TICKS_PER_HEARTBEAT = 4;
  private static final String STOPPING = "the replica is stopping";
  private static final int MAXIMUM_COMMANDS_PER_PROPOSAL = 1_000;
  private static final long STOP_POLL_NANOSECONDS = 2_000_000;

  private final ReplicaSettings settings;
  private final InstantSource clock;
  private final Consumer<Throwable> failureListener;
  private final StateMachine machine;
  private final PendingCommands pending = new PendingCommands();
  private final PendingReads reads;
  private final ProposalQueue proposals = new ProposalQueue();
  private final AtomicBoolean proposalsScheduled = new AtomicBoolean();
  private final ScheduledExecutorService executor = Threads.singleThreadScheduler("replica");
  private final StorageThread storage;
  private final StateThread state;
  private final EffectRunner effectRunner;
  private final Replica replica;
  private volatile ReplicaStatus status;
  private volatile boolean stopping;

  /**
   * Reads the folder and creates the replica; no thread starts until {@link #start}.
   *
   * @param machine the parts of the state
   * @param folder closed by {@link #leave} and {@link #close}; by the caller if this constructor
   *     fails
   * @param statusListener called on the replica's thread at each change of role, term or leader
   * @param failureListener called with each error that keeps this replica from continuing
   */
  RunningReplica(
      ReplicaSettings settings,
      InstantSource clock,
      PeerLinks links,
      StateMachine machine,
      DataFolder folder,
      Consumer<ReplicaStatus> statusListener,
      Consumer<Throwable> failureListener)
      throws StorageException, DamagedSnapshotException {
    this.settings = settings;
    this.clock = clock;
    this.machine = machine;
    this.failureListener = failureListener;
    ReplicaStore store = ReplicaStore.open(folder);
    restore(machine, store);
    this.replica =
        new Replica(
            new Member(settings.self(), store.identity()),
            settings.rules(),
            settings.timings(),
            new Random(),
            store.recovered(),
            clock.instant());
    this.status = replica.status();
    this.reads = new PendingReads(() -> status.leader());
    this.storage =
        new StorageThread(store, settings.groupCommit(), this::onSynced, failureListener);
    this.state =
        new StateThread(
            machine, pending, settings.snapshotPolicy(), this::onSnapshot, failureListener);
    this.effectRunner =
        new EffectRunner(
            links,
            storage,
            state,
            reads,
            changed -> {
              status = changed;
              statusListener.accept(changed);
            });
    logRecovery();
  }

  private static void restore(StateMachine machine, ReplicaStore store)
      throws StorageException, DamagedSnapshotException {
    machine.reset();
    Optional<byte[]> snapshot = store.loadSnapshotBytes();
    if (snapshot.isPresent()) {
      machine.restore(store.snapshotPoint(), snapshot.get());
    }
    store.releaseSnapshotBytes();
  }

  private void logRecovery() {
    logger.atInfo().log(
        "%s",
        EventLine.of(Event.REPLICA_RECOVERED)
            .with("replica", status.replica())
            .with("term", status.term())
            .with("snapshot_index", status.snapshotIndex())
            .with("last_index", status.lastIndex()));
  }

  /** Starts the threads. */
  void start() {
    storage.start();
    long tick = settings.timings().heartbeat().toNanos() / TICKS_PER_HEARTBEAT;
    ScheduledFuture<?> unused =
        executor.scheduleAtFixedRate(() -> runChecked(this::tick), 0, tick, TimeUnit.NANOSECONDS);
  }

  private void tick() {
    Instant now = clock.instant();
    effectRunner.run(replica.onTick(now));
    pending.expire(now);
    status = replica.status();
  }

  /** Queues a message from another replica for the replica's thread. */
  void onMessage(ProcessId from, ReplicationMessage message) {
    tryExecute(() -> effectRunner.run(replica.onMessage(clock.instant(), from, message)));
  }

  private void onSynced(long sequence) {
    tryExecute(() -> effectRunner.run(replica.onPersisted(clock.instant(), sequence)));
  }

  private void onSnapshot(SnapshotPoint point, byte[] snapshot) {
    storage.execute(
        store -> {
          store.writeSnapshot(point, snapshot);
          logger.atInfo().log(
              "%s",
              EventLine.of(Event.SNAPSHOT_WRITTEN)
                  .with("index", point.index())
                  .with("bytes", snapshot.length));
          state.onSnapshotWritten();
          tryExecute(() -> effectRunner.run(replica.onSnapshotWritten(point.index())));
        });
  }

  /** Queues a command for the log; its reply fails if this replica does not lead or is stopping. */
  void propose(Payload command, CompletableFuture<CommandReply> reply) {
    if (stopping) {
      ProposalQueue.refuse(reply, STOPPING);
      return;
    }
    proposals.add(command, reply);
    if (proposalsScheduled.compareAndSet(false, true)) {
      tryExecute(this::proposeQueued);
    }
  }

  private void proposeQueued() {
    proposalsScheduled.set(false);
    int maximum = settings.groupCommit() ? MAXIMUM_COMMANDS_PER_PROPOSAL : 1;
    List<Proposal> batch = proposals.poll(maximum);
    while (!batch.isEmpty()) {
      proposeBatch(batch);
      batch = proposals.poll(maximum);
    }
  }

  private void proposeBatch(List<Proposal> batch) {
    Instant now = clock.instant();
    ProposalOutcome outcome = replica.propose(now, batch.stream().map(Proposal::command).toList());
    if (outcome.position().isPresent()) {
      long index = outcome.position().get().index();
      for (Proposal proposal : batch) {
        Instant deadline = now.plus(settings.commandTimeout());
        pending.add(index, outcome.position().get().term(), deadline, proposal.reply());
        index++;
      }
    } else {
      batch.forEach(
          proposal -> ProposalQueue.refuse(proposal.reply(), "this replica does not lead"));
    }
    effectRunner.run(outcome.effects());
  }

  /** Starts a linearizable read; its result fails if this replica does not lead. */
  <T> void read(Supplier<T> query, CompletableFuture<T> result) {
    long token = reads.add(query, result);
    boolean accepted =
        tryExecute(() -> effectRunner.run(replica.readIndex(clock.instant(), token)));
    if (!accepted) {
      reads.refuse(token);
    }
  }

  /** Reads the state of this replica, which may lag behind the leader's. */
  <T> CompletableFuture<T> readLocally(Supplier<T> query) {
    CompletableFuture<T> result = new CompletableFuture<>();
    state.execute(() -> result.complete(query.get()));
    return result;
  }

  /** Runs a task on the thread that owns the state. */
  void executeOnState(Runnable task) {
    state.execute(task);
  }

  /** Returns the status as of the last tick or role change. */
  ReplicaStatus status() {
    return status;
  }

  /** Returns the index of the last applied entry. */
  long appliedIndex() {
    return state.appliedIndex();
  }

  /** Returns the length of the log files in bytes. */
  long logFileBytes() {
    return storage.logFileBytes();
  }

  /** Returns the number of commands without a reply. */
  int pendingCommands() {
    return proposals.unanswered();
  }

  /** Returns the number of cached replies. */
  int cachedReplies() {
    return machine.cachedReplyCount();
  }

  private boolean tryExecute(Runnable task) {
    try {
      executor.execute(() -> runChecked(task));
      return true;
    } catch (RejectedExecutionException stopped) {
      return false;
    }
  }

  private void runChecked(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException | Error unexpected) {
      failureListener.accept(unexpected);
    }
  }

  /**
   * Refuses new commands, waits at most the grace period for replies to earlier ones, transfers
   * leadership, announces to the other members that this replica leaves, and stops the threads.
   */
  void leave(Duration grace) {
    stop(grace, Replica::depart);
  }

  /** Stops as {@link #leave}, but without the announcement, since the replica is opened again. */
  void close() {
    stop(Duration.ZERO, Replica::transferLeadership);
  }

  private void stop(Duration grace, BiFunction<Replica, Instant, ImmutableList<Effect>> farewell) {
    stopping = true;
    waitForPending(grace);
    handOver(farewell);
    Threads.stop(executor);
    state.stop();
    storage.stop();
    pending.stop();
    reads.stop();
    proposals
        .poll(Integer.MAX_VALUE)
        .forEach(proposal -> ProposalQueue.refuse(proposal.reply(), STOPPING));
  }

  private void waitForPending(Duration grace) {
    long end = System.nanoTime() + grace.toNanos();
    while (proposals.unanswered() > 0 && System.nanoTime() < end) {
      LockSupport.parkNanos(STOP_POLL_NANOSECONDS);
    }
  }

  private void handOver(BiFunction<Replica, Instant, ImmutableList<Effect>> farewell) {
    CompletableFuture<ImmutableList<Effect>> transferred = new CompletableFuture<>();
    boolean accepted =
        tryExecute(
            () -> {
              ImmutableList<Effect> requested = farewell.apply(replica, clock.instant());
              effectRunner.run(requested);
              transferred.complete(requested);
            });
    if (!accepted) {
      return;
    }
    try {
      transferred.get(settings.timings().heartbeat().toMillis(), TimeUnit.MILLISECONDS);
    } catch (ExecutionException | TimeoutException notInTime) {
      logger.atFine().withCause(notInTime).log("leadership was not transferred before the timeout");
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}
