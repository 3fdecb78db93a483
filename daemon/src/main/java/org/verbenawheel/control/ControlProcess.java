package org.verbenawheel.control;

import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.verbenawheel.claim.ClaimPolicy;
import org.verbenawheel.claim.ClaimState;
import org.verbenawheel.configuration.ConfigurationChange;
import org.verbenawheel.configuration.ConfigurationService;
import org.verbenawheel.configuration.ConfigurationState;
import org.verbenawheel.configuration.VersionedConfiguration;
import org.verbenawheel.daemon.Addresses;
import org.verbenawheel.daemon.DaemonMessages;
import org.verbenawheel.daemon.DaemonState;
import org.verbenawheel.daemon.HttpServerPart;
import org.verbenawheel.daemon.OperatorToken;
import org.verbenawheel.daemon.PartDumps;
import org.verbenawheel.daemon.PeerNodes;
import org.verbenawheel.daemon.SecretFile;
import org.verbenawheel.maintenance.MaintenanceState;
import org.verbenawheel.operator.MaintenanceReport;
import org.verbenawheel.operator.PoolReport;
import org.verbenawheel.operator.StatusReport;
import org.verbenawheel.platform.Platform;
import org.verbenawheel.pool.HostRecord;
import org.verbenawheel.pool.PoolState;
import org.verbenawheel.replication.CommandEnvelope;
import org.verbenawheel.replication.CommandReply;
import org.verbenawheel.replication.NotLeaderException;
import org.verbenawheel.replication.ReplicaProcess;
import org.verbenawheel.replication.ReplicaStatus;
import org.verbenawheel.replication.ReplicationTimings;
import org.verbenawheel.settings.ControlSettings;
import org.verbenawheel.supervision.PartFailedException;
import org.verbenawheel.supervision.RestartStrategy;
import org.verbenawheel.supervision.Supervisor;
import org.verbenawheel.wire.PeerNode;

/**
 * Assembles one control process: a replica of the log, the controllers and the HTTP server for
 * operators.
 */
final class ControlProcess implements OperatorService, DaemonState {
  private static final int MAXIMUM_BODY_BYTES = 1 << 20;

  private final ControlSettings settings;
  private final InstantSource clock;
  private final MetricRegistry metrics = new MetricRegistry();
  private final ConfigurationState configuration = new ConfigurationState();
  private final PoolState pools =
      new PoolState(() -> configuration.history().current().configuration());
  private final MaintenanceState maintenance = new MaintenanceState();
  private final FleetControllers controllers;
  private final PeerNode peers;
  private final ReplicaProcess replica;
  private final Supervisor root;
  private volatile boolean draining;

  ControlProcess(ControlSettings settings, InstantSource clock) throws PartFailedException {
    this.settings = settings;
    this.clock = clock;
    this.controllers =
        new FleetControllers(pools, maintenance, () -> configuration.history().current(), clock);
    this.peers = PeerNodes.of(settings, clock);
    this.replica = newReplica();
    peers.addHandler(replica);
    peers.addHandler(controllers);
    peers.addHandler(new ConfigurationService(new StateAuthority(replica), configuration::history));
    this.root = newSupervisor();
  }

  /** Returns the supervisor tree of this process. */
  Supervisor root() {
    return root;
  }

  /** Refuses new commands from now on. The parts keep running until the supervisor stops them. */
  void drain() {
    draining = true;
  }

  @Override
  public StatusReport status() {
    Optional<ReplicaStatus> status = replica.status();
    return new StatusReport(
        settings.process(),
        settings.availabilityZone(),
        status.map(current -> current.role().name()).orElse("STOPPED"),
        status.flatMap(ReplicaStatus::leader),
        status.map(ReplicaStatus::term).orElse(0L),
        status.map(ReplicaStatus::commitIndex).orElse(0L),
        status.map(ReplicaStatus::commitIndex).orElse(0L),
        configuration.history().current().version(),
        ready());
  }

  @Override
  public CompletableFuture<VersionedConfiguration> configuration() {
    return replica.read(() -> configuration.history().current());
  }

  @Override
  public CompletableFuture<ImmutableList<ConfigurationChange>> history() {
    return replica.read(() -> configuration.history().changes());
  }

  @Override
  public CompletableFuture<ImmutableList<PoolReport>> pools() {
    return replica.read(() -> PoolReport.of(pools.view()));
  }

  @Override
  public CompletableFuture<ImmutableList<HostRecord>> hosts() {
    return replica.read(() -> pools.view().hosts().values().asList());
  }

  @Override
  public CompletableFuture<MaintenanceReport> maintenance() {
    return replica.read(controllers::maintenanceReport);
  }

  @Override
  public CompletableFuture<ReplicaStatus> replicas() {
    Supplier<ReplicaStatus> current = () -> replica.status().orElseThrow();
    return replica.read(current);
  }

  @Override
  public CompletableFuture<CommandReply> submit(CommandEnvelope envelope) {
    if (draining || !replica.mayDecide()) {
      return CompletableFuture.failedFuture(
          new NotLeaderException(replica.status().flatMap(ReplicaStatus::leader)));
    }
    return replica.submitAsLeader(envelope);
  }

  @Override
  public boolean ready() {
    return !draining && replica.status().flatMap(ReplicaStatus::leader).isPresent();
  }

  @Override
  public MetricRegistry metrics() {
    return metrics;
  }

  @Override
  public Object dump() {
    return ImmutableMap.of(
        "process", settings.process(),
        "availabilityZone", settings.availabilityZone(),
        "ready", ready(),
        "peers", peers.dump(),
        "decisions", controllers.decisions(),
        "replica", PartDumps.orNoAnswer(replica.dump()));
  }

  private ReplicaProcess newReplica() {
    return ReplicaProcess.builder(settings.process(), clock)
        .initialVoters(settings.controls().keySet())
        .dataFolder(settings.dataFolder())
        .links(peers)
        .codec(DaemonMessages.CODEC)
        .addPart(new ClaimState(ClaimPolicy.DEFAULT))
        .addPart(configuration)
        .addPart(pools)
        .addPart(maintenance)
        .timings(
            timings(
                Duration.ofMillis(settings.replicationHeartbeatMilliseconds()),
                Duration.ofMillis(settings.electionTimeoutMilliseconds())))
        .snapshotInterval(Math.toIntExact(settings.snapshotEveryCommands()))
        .build();
  }

  /**
   * Returns timings whose lease is four fifths of the election timeout, so it ends before another
   * replica can be elected.
   */
  private static ReplicationTimings timings(Duration heartbeat, Duration electionTimeout) {
    return new ReplicationTimings(
        heartbeat, electionTimeout, electionTimeout.multipliedBy(4).dividedBy(5));
  }

  private Supervisor newSupervisor() throws PartFailedException {
    Platform platform =
        settings
            .platformAddress()
            .<Platform>map(address -> new HttpPlatform(Addresses.text(address)))
            .orElseGet(NoPlatform::new);
    HttpServerPart http =
        new HttpServerPart(
            Addresses.text(settings.httpAddress()),
            MAXIMUM_BODY_BYTES,
            ImmutableList.of(
                this,
                new OperatorToken(
                    SecretFile.read(settings.operatorTokenFile(), "operatorTokenFile"))));
    return Supervisor.builder("control", clock)
        .strategy(RestartStrategy.REST_FOR_ONE)
        .add(peers)
        .add(replica)
        .add(controllers.newControllerPart(new LeaderLease(replica, clock), replica, platform))
        .add(http)
        .build();
  }
}
