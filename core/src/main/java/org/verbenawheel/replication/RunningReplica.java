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
 * One replica from a start to a stop: the thread that drives {@link Replica}, beside the threads
 * for the disk and the state.
 */
final class RunningReplica {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int TICKS_PER_HEARTBEAT = 4;
  private static final String STOPPING = "the replica stops";
  private static final int MAXIMUM_COMMANDS_PER_PROPOSAL = 1_000;
  private static final long STOP_POLL_NANOSECONDS = 2_000_000;

  private final ReplicaSettings settings;
  private final InstantSource clock;
  private final Consumer<Throwable> failures;
  private final StateMachine machine;
  private final PendingCommands pending = new PendingCommands();
  private final PendingReads reads;
  private final ProposalQueue proposals = new ProposalQueue();
  private final AtomicBoolean proposalsScheduled = new AtomicBoolean();
  private final ScheduledExecutorService thread = Threads.scheduled("replica");
  private final StorageThread storage;
  private final StateThread state;
  private final EffectRunner effects;
  private final Replica replica;
  private volatile ReplicaStatus status;
  private volatile boolean stopping;

  /**
   * Reads the folder and makes the replica; nothing runs until {@link #start}.
   *
   * @param machine the parts of the state
   * @param folder closed by {@link #stop}, or at once if this fails
   * @param statusListener hears of each change of role or leader
   * @param failures takes what ends this replica's work
   */
  RunningReplica(
      ReplicaSettings settings,
      InstantSource clock,
      PeerLinks links,
      StateMachine machine,
      DataFolder folder,
      Consumer<ReplicaStatus> statusListener,
      Consumer<Throwable> failures)
      throws StorageException, DamagedSnapshotException {
    this.settings = settings;
    this.clock = clock;
    this.machine = machine;
    this.failures = failures;
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
    this.storage = new StorageThread(store, settings.groupCommit(), this::onSynced, failures);
    this.state =
        new StateThread(machine, pending, settings.snapshotInterval(), this::onSnapshot, failures);
    this.effects =
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
    Optional<byte[]> image = store.snapshotImage();
    if (image.isPresent()) {
      machine.restore(store.snapshotPoint(), image.get());
    }
    store.forgetImage();
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
        thread.scheduleAtFixedRate(() -> runChecked(this::tick), 0, tick, TimeUnit.NANOSECONDS);
  }

  private void tick() {
    Instant now = clock.instant();
    effects.run(replica.onTick(now));
    pending.expire(now);
    status = replica.status();
  }

  /** Takes a message of another replica. */
  void onMessage(ProcessId from, ReplicationMessage message) {
    execute(() -> effects.run(replica.onMessage(clock.instant(), from, message)));
  }

  private void onSynced(long sequence) {
    execute(() -> effects.run(replica.onPersisted(clock.instant(), sequence)));
  }

  private void onSnapshot(SnapshotPoint point, byte[] image) {
    storage.execute(
        store -> {
          store.writeSnapshot(point, image);
          logger.atInfo().log(
              "%s",
              EventLine.of(Event.SNAPSHOT_WRITTEN)
                  .with("index", point.index())
                  .with("bytes", image.length));
          execute(() -> effects.run(replica.onSnapshotWritten(point.index())));
        });
  }

  /** Appends a command, if this replica leads. */
  void propose(Payload command, CompletableFuture<CommandReply> reply) {
    if (stopping) {
      ProposalQueue.refuse(reply, STOPPING);
      return;
    }
    proposals.add(command, reply);
    if (proposalsScheduled.compareAndSet(false, true)) {
      execute(this::proposeGathered);
    }
  }

  private void proposeGathered() {
    proposalsScheduled.set(false);
    int maximum = settings.groupCommit() ? MAXIMUM_COMMANDS_PER_PROPOSAL : 1;
    List<Proposal> batch = proposals.next(maximum);
    while (!batch.isEmpty()) {
      proposeBatch(batch);
      batch = proposals.next(maximum);
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
    effects.run(outcome.effects());
  }

  /** Reads the state as of now, if this replica leads. */
  <T> void read(Supplier<T> query, CompletableFuture<T> result) {
    long token = reads.add(query, result);
    boolean accepted = execute(() -> effects.run(replica.readIndex(clock.instant(), token)));
    if (!accepted) {
      reads.refuse(token);
    }
  }

  /** Reads the state that this replica has, which may be old. */
  <T> CompletableFuture<T> readLocally(Supplier<T> query) {
    CompletableFuture<T> result = new CompletableFuture<>();
    state.execute(() -> result.complete(query.get()));
    return result;
  }

  /** Runs a task on the thread that owns the state. */
  void executeOnState(Runnable task) {
    state.execute(task);
  }

  /** Returns what the replica knew at its last tick. */
  ReplicaStatus status() {
    return status;
  }

  /** Returns the last entry that was applied. */
  long appliedIndex() {
    return state.appliedIndex();
  }

  /** Returns how many commands wait for their commit. */
  int pendingCommands() {
    return proposals.waiting();
  }

  /** Returns how many first replies are remembered. */
  int firstReplies() {
    return machine.firstReplyCount();
  }

  private boolean execute(Runnable task) {
    try {
      thread.execute(() -> runChecked(task));
      return true;
    } catch (RejectedExecutionException stopped) {
      return false;
    }
  }

  private void runChecked(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException | Error unexpected) {
      failures.accept(unexpected);
    }
  }

  /** Lets commands in flight end, hands leadership on, and stops the threads. */
  void stop(Duration grace) {
    stopping = true;
    waitForPending(grace);
    transferLeadership();
    Threads.stop(thread);
    state.stop();
    storage.stop();
    pending.stop();
    reads.stop();
    proposals
        .next(Integer.MAX_VALUE)
        .forEach(proposal -> ProposalQueue.refuse(proposal.reply(), STOPPING));
  }

  private void waitForPending(Duration grace) {
    long end = System.nanoTime() + grace.toNanos();
    while (proposals.waiting() > 0 && System.nanoTime() < end) {
      LockSupport.parkNanos(STOP_POLL_NANOSECONDS);
    }
  }

  private void transferLeadership() {
    CompletableFuture<ImmutableList<Effect>> transferred = new CompletableFuture<>();
    boolean accepted =
        execute(
            () -> {
              ImmutableList<Effect> wanted = replica.transferLeadership(clock.instant());
              effects.run(wanted);
              transferred.complete(wanted);
            });
    if (!accepted) {
      return;
    }
    try {
      transferred.get(settings.timings().heartbeat().toMillis(), TimeUnit.MILLISECONDS);
    } catch (ExecutionException | TimeoutException notInTime) {
      logger.atFine().withCause(notInTime).log("leadership was not handed on");
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}
