package org.verbenawheel.fleet;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.flogger.FluentLogger;
import java.nio.file.Path;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.verbenawheel.daemon.DaemonState;
import org.verbenawheel.daemon.PartDumps;
import org.verbenawheel.event.Event;
import org.verbenawheel.event.EventLine;
import org.verbenawheel.execution.FleetLeadership;
import org.verbenawheel.execution.HostCalls;
import org.verbenawheel.execution.PlacementAdviser;
import org.verbenawheel.execution.WorkerCalls;
import org.verbenawheel.gateway.QueueAnswer;
import org.verbenawheel.gateway.QueueAnswer.Outcome;
import org.verbenawheel.gateway.QueueCall;
import org.verbenawheel.gateway.QueueService;
import org.verbenawheel.host.HostOrderRegistry;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.job.JobCommands.CancelJob;
import org.verbenawheel.job.JobRegistry;
import org.verbenawheel.peer.PeerHandler;
import org.verbenawheel.peer.PeerMessage;
import org.verbenawheel.queue.ConfigurationInstalled;
import org.verbenawheel.queue.FleetConfiguration;
import org.verbenawheel.queue.FleetConfigurationState;
import org.verbenawheel.queue.InstallConfiguration;
import org.verbenawheel.replication.CommandEnvelope;
import org.verbenawheel.replication.CommandNotCommittedException;
import org.verbenawheel.replication.CommandReply;
import org.verbenawheel.replication.ControlCommand;
import org.verbenawheel.replication.Member;
import org.verbenawheel.replication.Membership;
import org.verbenawheel.replication.NotLeaderException;
import org.verbenawheel.replication.ReplicaProcess;
import org.verbenawheel.replication.ReplicaStatus;
import org.verbenawheel.replication.ReplicationTimings;
import org.verbenawheel.request.RunVerdict;
import org.verbenawheel.supervision.SupervisedPart;
import org.verbenawheel.wave.Wave;
import org.verbenawheel.wave.WaveCommands.StartWave;
import org.verbenawheel.wave.WaveRegistry;
import org.verbenawheel.wire.PeerNode;
import org.verbenawheel.worker.Worker;
import org.verbenawheel.worker.WorkerRegistry;

/**
 * One control process of a fleet deployment: a replica of the control state that, while it leads,
 * also schedules jobs and sends orders to the workers.
 */
public final class FleetControl implements PeerHandler, DaemonState {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration COMMAND_TIMEOUT = Duration.ofSeconds(3);
  private static final int SNAPSHOT_EVERY_ENTRIES = 2_000;

  /**
   * The share of the heap, and of the disk, that the log may take before a snapshot is due. Entries
   * are copied while they are sent, written and applied, and the disk also holds old segments and
   * two snapshots.
   */
  private static final int LOG_SHARE = 16;

  /** The value of a gauge that only the leader, or only a member, can tell. */
  private static final int UNKNOWN = -1;

  /**
   * Messages between availability zones take milliseconds, and pauses of the virtual machine stay
   * well below the election timeout.
   */
  private static final ReplicationTimings REPLICATION_TIMINGS =
      new ReplicationTimings(
          Duration.ofMillis(100), Duration.ofMillis(420), Duration.ofMillis(330));

  private final FleetSettings settings;
  private final MetricRegistry metrics = new MetricRegistry();
  private final FleetConfigurationState configuration = new FleetConfigurationState();
  private final WorkerRegistry workers = new WorkerRegistry();
  private final WaveRegistry waves = new WaveRegistry();
  private final HostOrderRegistry hostOrders = new HostOrderRegistry();
  private final JobRegistry jobs;
  private final PeerNode peers;
  private final ReplicaProcess replica;
  private final QueueService queues;
  private final FleetReports reports;
  private final LeaderLoop leaderLoop;
  private volatile boolean draining;

  /**
   * Composes a control process; {@link #parts()} are to be started afterwards.
   *
   * @param dataFolder the folder of the replica's log and snapshots
   * @param clock a monotonic clock
   * @param workerCalls creates the sender of orders to workers, which asks the given supplier
   *     whether this process may still order, when an order leaves
   * @param hostCalls sends orders about hosts to the platform
   * @param adviser decides which workers may run a step
   */
  public FleetControl(
      FleetSettings settings,
      Path dataFolder,
      InstantSource clock,
      Function<BooleanSupplier, WorkerCalls> workerCalls,
      HostCalls hostCalls,
      PlacementAdviser adviser) {
    this.settings = settings;
    this.jobs = new JobRegistry(settings.jobRetention());
    this.peers = FleetPeers.createNode(settings, clock);
    this.replica =
        ReplicaProcess.builder(settings.process(), clock)
            .initialVoters(settings.seeds())
            .mayFound(settings.mayFound())
            .maximumVoters(settings.maximumVoters())
            .dataFolder(dataFolder)
            .links(peers)
            .codec(FleetMessages.CODEC)
            .addPart(configuration)
            .addPart(workers)
            .addPart(jobs)
            .addPart(waves)
            .addPart(hostOrders)
            .timings(REPLICATION_TIMINGS)
            .commandTimeout(COMMAND_TIMEOUT)
            .snapshotInterval(SNAPSHOT_EVERY_ENTRIES)
            .maximumLogBytes(maximumLogBytes(settings))
            .build();
    this.queues = new QueueService(configuration, jobs, this::commit);
    this.reports = new FleetReports(replica, jobs, workers);
    OrderAuthority orderAuthority = new OrderAuthority(clock, System::currentTimeMillis);
    FleetLeadership.Factory leadershipFactory =
        new FleetLeadership.Factory(
            jobs,
            workers,
            configuration,
            this::commit,
            workerCalls.apply(orderAuthority::isValid),
            hostCalls,
            adviser,
            waves,
            hostOrders,
            settings.process().value(),
            orderAuthority::isValid,
            settings.execution(),
            settings.waves(),
            settings.moves(),
            clock,
            System::currentTimeMillis,
            replica::executeOnState,
            metrics);
    this.leaderLoop =
        new LeaderLoop(
            replica,
            clock,
            leadershipFactory::begin,
            orderAuthority,
            metrics.timer("state-thread.delay"));
    peers.addHandler(replica);
    peers.addHandler(this);
    registerGauges();
  }

  private static long maximumLogBytes(FleetSettings settings) {
    long heapBytes = Runtime.getRuntime().maxMemory();
    return Math.min(heapBytes, settings.diskBytes().orElse(heapBytes)) / LOG_SHARE;
  }

  private void registerGauges() {
    metrics.gauge("replica.term", () -> () -> replica.status().map(ReplicaStatus::term).orElse(0L));
    metrics.gauge(
        "replica.commitIndex",
        () -> () -> replica.status().map(ReplicaStatus::commitIndex).orElse(0L));
    gaugeOfReplica(
        "replica.voters", status -> status.members().map(members -> members.voters().size()));
    gaugeOfReplica(
        "replica.learners", status -> status.members().map(members -> members.learners().size()));
    gaugeOfReplica("replica.respondingVoters", ReplicaStatus::respondingVoters);
    gaugeOfReplica("replica.bearableLosses", ReplicaStatus::bearableLosses);
    gaugeOfReplica(
        "replica.isVoter", status -> Optional.of(status.membership() == Membership.VOTER ? 1 : 0));
    metrics.gauge(
        "replica.logEntries",
        () -> () -> replica.status().map(ReplicaStatus::logEntries).orElse(0L));
    metrics.gauge(
        "replica.logBytes", () -> () -> replica.status().map(ReplicaStatus::logBytes).orElse(0L));
    metrics.gauge("replica.logFileBytes", () -> () -> replica.logFileBytes().orElse(0L));
    metrics.gauge("replica.knowsLeader", () -> () -> knowsLeader() ? 1 : 0);
    metrics.gauge("replica.mayDecide", () -> () -> replica.mayDecide() ? 1 : 0);
  }

  /** Registers a gauge that shows {@link #UNKNOWN} while the replica cannot tell the value. */
  private void gaugeOfReplica(String name, Function<ReplicaStatus, Optional<Integer>> value) {
    metrics.gauge(name, () -> () -> replica.status().flatMap(value).orElse(UNKNOWN));
  }

  /** Returns the parts to supervise, in start order. */
  public ImmutableList<SupervisedPart> parts() {
    return ImmutableList.of(peers, replica, leaderLoop);
  }

  /**
   * Makes this process unready and refuses queue calls from now on. The parts keep running until
   * the supervision tree stops them.
   */
  public void drain() {
    draining = true;
  }

  @Override
  public MetricRegistry metrics() {
    return metrics;
  }

  /** Returns whether this process knows the leader, possibly itself, and is not draining. */
  @Override
  public boolean ready() {
    return !draining && knowsLeader();
  }

  private boolean knowsLeader() {
    return replica.status().flatMap(ReplicaStatus::leader).isPresent();
  }

  @Override
  public Object dump() {
    return ImmutableMap.of(
        "process", settings.process(), "replica", PartDumps.orNoAnswer(replica.dump()));
  }

  /** Returns the leader if it is known and is another process. */
  public Optional<ProcessId> leaderElsewhere() {
    return replica
        .status()
        .flatMap(ReplicaStatus::leader)
        .filter(leader -> !leader.equals(settings.process()));
  }

  /**
   * Installs a configuration, unless the same or a higher version is in force already.
   *
   * @param requested a configuration that passed validation
   * @return completes once it is committed; or fails, for example with {@link NotLeaderException}
   */
  public CompletableFuture<CommandReply> install(FleetConfiguration requested) {
    long version = requested.version();
    return asLeader(
            leadership ->
                isInForce(version)
                    ? CompletableFuture.<CommandReply>completedFuture(
                        new ConfigurationInstalled(version))
                    : commit(new InstallConfiguration(requested)))
        .whenComplete((reply, failure) -> logInstallOutcome(version, failure));
  }

  private static void logInstallOutcome(long version, @Nullable Throwable failure) {
    logger.atInfo().log(
        "%s",
        EventLine.of(Event.CONFIGURATION_ANSWERED)
            .with("version", version)
            .with("outcome", failure == null ? "ACKNOWLEDGED" : failure));
  }

  private boolean isInForce(long version) {
    return configuration.current().filter(current -> current.version() >= version).isPresent();
  }

  /**
   * Returns the configuration in force, empty if none was installed yet; or fails with {@link
   * NotLeaderException}.
   */
  public CompletableFuture<Optional<FleetConfiguration>> readConfiguration() {
    return replica.read(configuration::current);
  }

  /** Stores a maintenance wave; completes once it is committed. */
  public CompletableFuture<CommandReply> startWave(StartWave wave) {
    return asLeader(leadership -> commit(wave));
  }

  /** Returns the wave with this number; or fails with {@link NotLeaderException}. */
  public CompletableFuture<Optional<Wave>> readWave(long number) {
    return replica.read(() -> waves.find(number));
  }

  /** Returns the reads of jobs and workers for the operator API. */
  public FleetReports reports() {
    return reports;
  }

  /**
   * Cancels a job at an operator's request.
   *
   * @param id the caller's id for the job
   * @return whether the job exists; completes once the cancellation is committed
   */
  public CompletableFuture<Boolean> cancelJob(String id) {
    return asLeader(
        leadership ->
            jobs.find(id)
                .map(job -> commit(new CancelJob(id, job.queue())).thenApply(reply -> true))
                .orElseGet(() -> CompletableFuture.completedFuture(false)));
  }

  /** Records a worker's report about itself; completes once it is committed. */
  public CompletableFuture<Object> onWorkerReport(
      Worker worker, long sequence, Optional<Long> clockMilliseconds) {
    return asLeader(
        leadership ->
            leadership
                .roster()
                .onReport(worker, sequence, clockMilliseconds)
                .thenApply(ignored -> ""));
  }

  /** Deregisters a worker that announced its shutdown; completes once this is committed. */
  public CompletableFuture<Object> onWorkerLeave(String id, Optional<Long> bornAtMilliseconds) {
    return asLeader(
        leadership -> leadership.roster().onLeave(id, bornAtMilliseconds).thenApply(ignored -> ""));
  }

  /**
   * Runs an action on the state thread once a quorum has confirmed that this process leads; fails
   * with {@link NotLeaderException} if it does not.
   */
  private <T> CompletableFuture<T> asLeader(
      Function<FleetLeadership, CompletableFuture<T>> action) {
    return withConfirmedLeadership(
        () ->
            leaderLoop
                .leadership()
                .map(action)
                .orElseGet(() -> CompletableFuture.failedFuture(notLeaderException())));
  }

  private <T> CompletableFuture<T> withConfirmedLeadership(Supplier<CompletableFuture<T>> action) {
    CompletableFuture<T> result = new CompletableFuture<>();
    var unused =
        replica
            .read(() -> copyOutcome(action.get(), result))
            .exceptionally(failure -> result.completeExceptionally(failure));
    return result;
  }

  private static <T> boolean copyOutcome(CompletableFuture<T> from, CompletableFuture<T> to) {
    var unused =
        from.whenComplete(
            (value, failure) -> {
              if (failure == null) {
                to.complete(value);
              } else {
                to.completeExceptionally(failure);
              }
            });
    return true;
  }

  private NotLeaderException notLeaderException() {
    return new NotLeaderException(leaderElsewhere());
  }

  private CompletableFuture<CommandReply> commit(ControlCommand command) {
    Timer.Context timing = metrics.timer("commits." + command.getClass().getSimpleName()).time();
    return replica
        .submitAsLeader(new CommandEnvelope(Optional.empty(), command))
        .whenComplete(
            (reply, failure) -> {
              timing.stop();
              if (failure != null) {
                onNotCommitted(command, failure);
              }
            });
  }

  private void onNotCommitted(ControlCommand command, Throwable failure) {
    metrics.counter("commits.failed." + command.getClass().getSimpleName()).inc();
    RunVerdict verdict =
        failure instanceof CommandNotCommittedException notCommitted
            ? notCommitted.verdict()
            : RunVerdict.MAY_HAVE_RUN;
    logger.atWarning().atMostEvery(100, TimeUnit.MILLISECONDS).log(
        "%s",
        EventLine.of(Event.COMMAND_NOT_COMMITTED)
            .with("command", command.getClass().getSimpleName())
            .with("verdict", verdict)
            .with("reason", String.valueOf(failure.getMessage())));
  }

  @Override
  public void onMessage(ProcessId from, PeerMessage message) {}

  @Override
  public Optional<CompletableFuture<PeerMessage>> onRequest(ProcessId from, PeerMessage message) {
    return message instanceof QueueCall call ? Optional.of(answer(call)) : Optional.empty();
  }

  private CompletableFuture<PeerMessage> answer(QueueCall call) {
    if (draining || !replica.mayDecide()) {
      return CompletableFuture.completedFuture(notLeaderAnswer());
    }
    return withConfirmedLeadership(() -> queues.answer(call))
        .<PeerMessage>thenApply(this::scheduleIfAccepted)
        .exceptionally(failure -> notLeaderAnswer());
  }

  private QueueAnswer scheduleIfAccepted(QueueAnswer answer) {
    if (answer.outcome() == Outcome.ACCEPTED) {
      replica.executeOnState(
          () -> leaderLoop.leadership().ifPresent(FleetLeadership::requestRound));
    }
    return answer;
  }

  private QueueAnswer notLeaderAnswer() {
    ImmutableList<ProcessId> controls =
        replica
            .status()
            .flatMap(ReplicaStatus::members)
            .map(
                members ->
                    members.voters().stream()
                        .map(Member::process)
                        .collect(ImmutableList.toImmutableList()))
            .orElse(ImmutableList.of());
    return QueueAnswer.notLeader(leaderElsewhere(), controls);
  }
}
