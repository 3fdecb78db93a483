package org.verbenawheel.replication;

import static com.google.common.base.Preconditions.checkState;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSortedSet;
import java.nio.file.Path;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Collection;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.verbenawheel.codec.MessageCodec;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.peer.PeerHandler;
import org.verbenawheel.peer.PeerLinks;
import org.verbenawheel.peer.PeerMessage;
import org.verbenawheel.replication.SubmitMessage.SubmitCommand;
import org.verbenawheel.request.RunVerdict;
import org.verbenawheel.storage.DataFolder;
import org.verbenawheel.storage.DiskFolder;
import org.verbenawheel.storage.StorageException;
import org.verbenawheel.supervision.FailureListener;
import org.verbenawheel.supervision.PartFailedException;
import org.verbenawheel.supervision.SupervisedPart;

/**
 * Runs one replica of the replicated log with its data folder, as a part of a process. Thread-safe.
 *
 * <p>Commands may be submitted to any replica: one that does not lead forwards them to the leader.
 * Only the leader answers reads.
 */
public final class ReplicaProcess implements SupervisedPart, CommandLog, PeerHandler {
  private final ReplicaSettings settings;
  private final InstantSource clock;
  private final PeerLinks links;
  private final MessageCodec codec;
  private final StateMachine machine;
  private final FolderOpener folderOpener;
  private final Consumer<ReplicaStatus> statusListener;
  private final CommandSubmitter submitter;
  private final RemoteCommandLog commandLog;
  private volatile @Nullable ReplicaLauncher launcher;

  private ReplicaProcess(Builder builder) {
    this.settings = builder.settings();
    this.clock = builder.clock;
    this.links = builder.required(builder.links, "links");
    this.codec = builder.required(builder.codec, "codec");
    this.folderOpener = builder.required(builder.folderOpener, "dataFolder");
    this.machine = new StateMachine(builder.parts.build(), codec);
    this.statusListener = builder.statusListener;
    this.submitter = new CommandSubmitter(settings.self(), codec);
    this.commandLog =
        RemoteCommandLog.builder()
            .replicas(settings.rules().initialVoters())
            .links(new LoopbackLinks(settings.self(), this, links))
            .codec(codec)
            .clock(clock)
            .timeout(settings.commandTimeout())
            .build();
  }

  /**
   * Returns a builder.
   *
   * @param self the process, as named in the settings
   * @param clock returns instants that never decrease
   */
  public static Builder builder(ProcessId self, InstantSource clock) {
    return new Builder(self, clock);
  }

  @Override
  public String name() {
    return "replica";
  }

  @Override
  public synchronized void start(FailureListener failures) throws PartFailedException {
    checkState(launcher == null, "already started");
    ReplicaLauncher started = new ReplicaLauncher(this::open, failures);
    started.start();
    launcher = started;
  }

  private RunningReplica open(Consumer<Throwable> failureListener)
      throws StorageException, DamagedSnapshotException {
    DataFolder folder = folderOpener.open();
    boolean opened = false;
    try {
      RunningReplica replica =
          new RunningReplica(
              settings, clock, links, machine, folder, statusListener, failureListener);
      opened = true;
      return replica;
    } finally {
      if (!opened) {
        folder.close();
      }
    }
  }

  @Override
  public synchronized void stop(Duration grace) {
    ReplicaLauncher stopped = launcher;
    if (stopped == null) {
      return;
    }
    stopped.stop(grace);
    launcher = null;
  }

  private @Nullable RunningReplica running() {
    ReplicaLauncher current = launcher;
    return current == null ? null : current.running().orElse(null);
  }

  /** Commits a command through the leader, wherever it runs. */
  @Override
  public CompletableFuture<CommandReply> submit(CommandEnvelope envelope) {
    return commandLog.submit(envelope);
  }

  /**
   * Commits a command only if this replica leads, for controllers that run on the leader.
   *
   * @param envelope the command and its identity
   * @return as {@link #submit}; fails with the verdict {@link RunVerdict#NOT_RUN} if this replica
   *     does not lead
   */
  public CompletableFuture<CommandReply> submitAsLeader(CommandEnvelope envelope) {
    return submitter.submit(
        running(),
        new SubmitCommand(envelope.commandId(), Payload.of(codec.encode(envelope.command()))));
  }

  /**
   * Reads the state. The query sees every change that was acknowledged before this call.
   *
   * @param query reads the parts; called on the thread that owns them, must not block
   * @return the result of the query; or fails with {@link NotLeaderException}
   */
  public <T> CompletableFuture<T> read(Supplier<T> query) {
    CompletableFuture<T> result = new CompletableFuture<>();
    RunningReplica current = running();
    if (current == null) {
      result.completeExceptionally(new NotLeaderException(Optional.empty()));
      return result;
    }
    current.read(query, result);
    return result;
  }

  /** Returns this replica's status; empty while it is not started. */
  public Optional<ReplicaStatus> status() {
    return Optional.ofNullable(running()).map(RunningReplica::status);
  }

  /** Returns the length of the log files in bytes; empty while the replica is not started. */
  public Optional<Long> logFileBytes() {
    return Optional.ofNullable(running()).map(RunningReplica::logFileBytes);
  }

  /**
   * Returns whether this replica leads and its leader lease has not expired. Only then may
   * controllers on this process make decisions for the whole system.
   */
  public boolean mayDecide() {
    return status().filter(current -> current.mayDecide(clock.instant())).isPresent();
  }

  /**
   * Runs a task on the thread that owns the state, after the entries queued before it are applied.
   * Does nothing while the replica is not started.
   *
   * @param task must not block
   */
  public void executeOnState(Runnable task) {
    RunningReplica current = running();
    if (current != null) {
      current.executeOnState(task);
    }
  }

  /** Returns a dump of this replica and its parts for operators; empty while not started. */
  public CompletableFuture<Optional<ReplicaDump>> dump() {
    RunningReplica current = running();
    if (current == null) {
      return CompletableFuture.completedFuture(Optional.empty());
    }
    return current.readLocally(() -> Optional.of(dumpOf(current)));
  }

  private ReplicaDump dumpOf(RunningReplica current) {
    ImmutableMap.Builder<String, Object> parts = ImmutableMap.builder();
    machine.parts().forEach(part -> parts.put(part.name(), part.dump()));
    return new ReplicaDump(
        current.status(),
        current.appliedIndex(),
        current.pendingCommands(),
        current.cachedReplies(),
        parts.buildOrThrow());
  }

  @Override
  public void onMessage(ProcessId from, PeerMessage message) {
    RunningReplica current = running();
    if (current != null && message instanceof ReplicationMessage replication) {
      current.onMessage(from, replication);
    }
  }

  @Override
  public Optional<CompletableFuture<PeerMessage>> onRequest(ProcessId from, PeerMessage message) {
    if (message instanceof SubmitCommand command) {
      Optional<ProcessId> leader = status().flatMap(ReplicaStatus::leader);
      return Optional.of(submitter.submitForPeer(running(), command, leader));
    }
    return Optional.empty();
  }

  /** Opens the replica's data folder at each start. */
  @FunctionalInterface
  public interface FolderOpener {
    /** Returns the opened folder, which the replica closes when it stops. */
    DataFolder open() throws StorageException;
  }

  /** Builds a replica. */
  public static final class Builder {
    private static final Duration DEFAULT_COMMAND_TIMEOUT = Duration.ofSeconds(5);
    private static final int DEFAULT_SNAPSHOT_INTERVAL_ENTRIES = 20_000;

    /** The length of the log up to which its entries, on disk and in memory, need no care. */
    private static final long DEFAULT_MAXIMUM_LOG_BYTES = 64L * 1024 * 1024;

    private static final int DEFAULT_MAXIMUM_VOTERS = 9;

    /** Several elections long, yet short enough that a replaced host is soon among the voters. */
    private static final Duration UNRESPONSIVE_TIMEOUT = Duration.ofMillis(2_500);

    private final ProcessId self;
    private final InstantSource clock;
    private final ImmutableList.Builder<StatePart> parts = ImmutableList.builder();
    private ImmutableSortedSet<ProcessId> initialVoters = ImmutableSortedSet.of();
    private boolean mayFound = true;
    private int maximumVoters = DEFAULT_MAXIMUM_VOTERS;
    private ReplicationTimings timings = ReplicationTimings.DEFAULT;
    private Duration commandTimeout = DEFAULT_COMMAND_TIMEOUT;
    private int snapshotInterval = DEFAULT_SNAPSHOT_INTERVAL_ENTRIES;
    private long maximumLogBytes = DEFAULT_MAXIMUM_LOG_BYTES;
    private boolean groupCommit = true;
    private Consumer<ReplicaStatus> statusListener = status -> {};
    private @Nullable PeerLinks links;
    private @Nullable MessageCodec codec;
    private @Nullable FolderOpener folderOpener;

    private Builder(ProcessId self, InstantSource clock) {
      this.self = self;
      this.clock = clock;
    }

    /** Sets the processes that found the cluster: all replicas named in the settings. */
    public Builder initialVoters(Collection<ProcessId> value) {
      initialVoters = ImmutableSortedSet.copyOf(value);
      return this;
    }

    /**
     * Sets whether this replica may found a cluster. Turn it off for a process that knows that a
     * cluster exists, so that it does not found a second one after it lost its folder.
     */
    public Builder mayFound(boolean value) {
      mayFound = value;
      return this;
    }

    /** Sets the maximum number of voters; further replicas stay learners. */
    public Builder maximumVoters(int value) {
      maximumVoters = value;
      return this;
    }

    /** Sets the path of the folder that holds the replica's files. */
    public Builder dataFolder(Path value) {
      return dataFolder(() -> DiskFolder.open(value));
    }

    /** Sets the opener that is called for the replica's folder at each start. */
    public Builder dataFolder(FolderOpener value) {
      folderOpener = value;
      return this;
    }

    /** Sets the links to the other replicas. */
    public Builder links(PeerLinks value) {
      links = value;
      return this;
    }

    /**
     * Sets the codec, which must know the commands and replies of all parts and {@link
     * ReplicationMessages#KINDS}.
     */
    public Builder codec(MessageCodec value) {
      codec = value;
      return this;
    }

    /** Adds one part of the state, in its initial state. */
    public Builder addPart(StatePart value) {
      parts.add(value);
      return this;
    }

    /** Sets the timings, which must be the same for all replicas. */
    public Builder timings(ReplicationTimings value) {
      timings = value;
      return this;
    }

    /** Sets how long a command may wait for its commit before it fails. */
    public Builder commandTimeout(Duration value) {
      commandTimeout = value;
      return this;
    }

    /** Sets the number of entries applied between two snapshots. */
    public Builder snapshotInterval(int value) {
      snapshotInterval = value;
      return this;
    }

    /**
     * Sets the length of the entries, in bytes, at which a snapshot is taken before the {@link
     * #snapshotInterval} has passed. The replica needs several times as much memory and disk.
     */
    public Builder maximumLogBytes(long value) {
      maximumLogBytes = value;
      return this;
    }

    /** Sets whether one sync may cover many commands; turned off only to measure its benefit. */
    public Builder groupCommit(boolean value) {
      groupCommit = value;
      return this;
    }

    /** Sets the listener called at each change of role, term or leader; must not block. */
    public Builder statusListener(Consumer<ReplicaStatus> value) {
      statusListener = value;
      return this;
    }

    /**
     * Builds the replica.
     *
     * @throws IllegalStateException if the links, the codec, the folder or the voters are not set
     */
    public ReplicaProcess build() {
      return new ReplicaProcess(this);
    }

    private ReplicaSettings settings() {
      checkState(!initialVoters.isEmpty(), "initialVoters not set");
      return new ReplicaSettings(
          self,
          new ClusterRules(initialVoters, mayFound, maximumVoters, UNRESPONSIVE_TIMEOUT),
          timings,
          commandTimeout,
          new SnapshotPolicy(snapshotInterval, maximumLogBytes),
          groupCommit);
    }

    private <T> T required(@Nullable T value, String name) {
      if (value == null) {
        throw new IllegalStateException(name + " not set");
      }
      return value;
    }
  }
}
