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
 * Runs one replica of the replicated log in a process with a disk. Safe for use by many threads.
 *
 * <p>Commands may be submitted at any replica: one that does not lead sends them to the one that
 * does. Reads are answered only by the leader.
 */
public final class ReplicaProcess implements SupervisedPart, CommandLog, PeerHandler {
  private final ReplicaSettings settings;
  private final InstantSource clock;
  private final PeerLinks links;
  private final MessageCodec codec;
  private final StateMachine machine;
  private final FolderOpener folderOpener;
  private final Consumer<ReplicaStatus> statusListener;
  private final Submissions submissions;
  private final RemoteCommandLog anyReplica;
  private volatile @Nullable RunningReplica running;

  private ReplicaProcess(Builder builder) {
    this.settings = builder.settings();
    this.clock = builder.clock;
    this.links = builder.required(builder.links, "links");
    this.codec = builder.required(builder.codec, "codec");
    this.folderOpener = builder.required(builder.folderOpener, "dataFolder");
    this.machine = new StateMachine(builder.parts.build(), codec);
    this.statusListener = builder.statusListener;
    this.submissions = new Submissions(settings.self(), codec);
    this.anyReplica =
        RemoteCommandLog.builder()
            .replicas(settings.rules().initialVoters())
            .links(new LinksToSelf(settings.self(), this, links))
            .codec(codec)
            .clock(clock)
            .timeout(settings.commandTimeout())
            .build();
  }

  /**
   * Returns a builder.
   *
   * @param self the process, as the settings name it
   * @param clock tells instants that never go back
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
    checkState(running == null, "already started");
    DataFolder folder = openFolder();
    FailOnce failOnce = new FailOnce(failures);
    try {
      RunningReplica started =
          new RunningReplica(
              settings, clock, links, machine, folder, statusListener, failOnce::onFailure);
      running = started;
      started.start();
    } catch (StorageException | DamagedSnapshotException unusable) {
      folder.close();
      throw new PartFailedException("replica cannot start: " + unusable.getMessage(), unusable);
    }
  }

  private DataFolder openFolder() throws PartFailedException {
    try {
      return folderOpener.open();
    } catch (StorageException unusable) {
      throw new PartFailedException("replica cannot start: " + unusable.getMessage(), unusable);
    }
  }

  @Override
  public synchronized void stop(Duration grace) {
    RunningReplica stopped = running;
    if (stopped == null) {
      return;
    }
    stopped.stop(grace);
    running = null;
  }

  /** Commits a command, through whichever replica leads. */
  @Override
  public CompletableFuture<CommandReply> submit(CommandEnvelope envelope) {
    return anyReplica.submit(envelope);
  }

  /**
   * Commits a command only if this replica leads, for controllers that run on the leader.
   *
   * @param envelope the command and its identity
   * @return as {@link #submit}; fails with the verdict {@link RunVerdict#NOT_RUN} if this replica
   *     does not lead
   */
  public CompletableFuture<CommandReply> submitAsLeader(CommandEnvelope envelope) {
    return submissions.submit(
        running,
        new SubmitCommand(envelope.commandId(), Payload.of(codec.encode(envelope.command()))));
  }

  /**
   * Reads the state so that every change acknowledged before this call is seen.
   *
   * @param query reads the parts; called on the thread that owns them, must not block
   * @return what the query returned; or fails with {@link NotLeaderException}
   */
  public <T> CompletableFuture<T> read(Supplier<T> query) {
    CompletableFuture<T> result = new CompletableFuture<>();
    RunningReplica present = running;
    if (present == null) {
      result.completeExceptionally(new NotLeaderException(Optional.empty()));
      return result;
    }
    present.read(query, result);
    return result;
  }

  /** Returns what this replica knows of itself; empty while it is not started. */
  public Optional<ReplicaStatus> status() {
    return Optional.ofNullable(running).map(RunningReplica::status);
  }

  /**
   * Returns whether this replica leads and its lease has not ended, so that it may decide for the
   * whole system at this moment.
   */
  public boolean mayDecide() {
    return status().filter(present -> present.mayDecide(clock.instant())).isPresent();
  }

  /**
   * Runs a task on the thread that owns the state, after all that was applied before. Does nothing
   * while the replica is not started.
   *
   * @param task must not block
   */
  public void executeOnState(Runnable task) {
    RunningReplica present = running;
    if (present != null) {
      present.executeOnState(task);
    }
  }

  /** Returns the state of this replica and its parts, for a person; empty while not started. */
  public CompletableFuture<Optional<ReplicaDump>> dump() {
    RunningReplica present = running;
    if (present == null) {
      return CompletableFuture.completedFuture(Optional.empty());
    }
    return present.readLocally(() -> Optional.of(dumpOf(present)));
  }

  private ReplicaDump dumpOf(RunningReplica present) {
    ImmutableMap.Builder<String, Object> parts = ImmutableMap.builder();
    machine.parts().forEach(part -> parts.put(part.name(), part.dump()));
    return new ReplicaDump(
        present.status(),
        present.appliedIndex(),
        present.pendingCommands(),
        present.firstReplies(),
        parts.buildOrThrow());
  }

  @Override
  public void onMessage(ProcessId from, PeerMessage message) {
    RunningReplica present = running;
    if (present != null && message instanceof ReplicationMessage replication) {
      present.onMessage(from, replication);
    }
  }

  @Override
  public Optional<CompletableFuture<PeerMessage>> onRequest(ProcessId from, PeerMessage message) {
    if (message instanceof SubmitCommand command) {
      Optional<ProcessId> leader = status().flatMap(ReplicaStatus::leader);
      return Optional.of(submissions.answer(running, command, leader));
    }
    return Optional.empty();
  }

  /** Opens the data folder at each start. */
  @FunctionalInterface
  public interface FolderOpener {
    /** Returns the folder, which the replica closes. */
    DataFolder open() throws StorageException;
  }

  /** Builds a replica. */
  public static final class Builder {
    private static final Duration DEFAULT_COMMAND_TIMEOUT = Duration.ofSeconds(5);
    private static final int DEFAULT_SNAPSHOT_INTERVAL = 20_000;
    private static final int DEFAULT_MAXIMUM_VOTERS = 9;

    /** Several elections long; a host that is replaced must be back among the voters soon. */
    private static final Duration SILENT_VOTER_AFTER = Duration.ofMillis(2_500);

    private final ProcessId self;
    private final InstantSource clock;
    private final ImmutableList.Builder<StatePart> parts = ImmutableList.builder();
    private ImmutableSortedSet<ProcessId> initialVoters = ImmutableSortedSet.of();
    private boolean mayFound = true;
    private int maximumVoters = DEFAULT_MAXIMUM_VOTERS;
    private ReplicationTimings timings = ReplicationTimings.DEFAULT;
    private Duration commandTimeout = DEFAULT_COMMAND_TIMEOUT;
    private int snapshotInterval = DEFAULT_SNAPSHOT_INTERVAL;
    private boolean groupCommit = true;
    private Consumer<ReplicaStatus> statusListener = status -> {};
    private @Nullable PeerLinks links;
    private @Nullable MessageCodec codec;
    private @Nullable FolderOpener folderOpener;

    private Builder(ProcessId self, InstantSource clock) {
      this.self = self;
      this.clock = clock;
    }

    /** Sets the processes that found the cluster: all replicas that the settings name. */
    public Builder initialVoters(Collection<ProcessId> value) {
      initialVoters = ImmutableSortedSet.copyOf(value);
      return this;
    }

    /**
     * Sets whether this replica may found a cluster; off for a process that knows that there is
     * one, so that a lost folder never takes part in a second founding.
     */
    public Builder mayFound(boolean value) {
      mayFound = value;
      return this;
    }

    /** Sets how many replicas vote at most; further ones stand by as learners. */
    public Builder maximumVoters(int value) {
      maximumVoters = value;
      return this;
    }

    /** Sets the folder that holds the replica's files. */
    public Builder dataFolder(Path value) {
      return dataFolder(() -> DiskFolder.open(value));
    }

    /** Sets what opens the replica's files at each start. */
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

    /** Sets the times that the cluster agrees on. */
    public Builder timings(ReplicationTimings value) {
      timings = value;
      return this;
    }

    /** Sets how long a command may wait for its commit. */
    public Builder commandTimeout(Duration value) {
      commandTimeout = value;
      return this;
    }

    /** Sets how many entries are applied between two snapshots. */
    public Builder snapshotInterval(int value) {
      snapshotInterval = value;
      return this;
    }

    /** Sets whether one sync may cover many commands; off only to measure what that saves. */
    public Builder groupCommit(boolean value) {
      groupCommit = value;
      return this;
    }

    /** Sets what hears of each change of role or leader; must not block. */
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
          new ClusterRules(initialVoters, mayFound, maximumVoters, SILENT_VOTER_AFTER),
          timings,
          commandTimeout,
          snapshotInterval,
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
