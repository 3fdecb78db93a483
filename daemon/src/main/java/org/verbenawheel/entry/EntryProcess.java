package org.verbenawheel.entry;

import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.util.concurrent.Uninterruptibles;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeoutException;
import org.verbenawheel.claim.ReplicatedClaimRegister;
import org.verbenawheel.configuration.Configuration;
import org.verbenawheel.configuration.ConfigurationFollower;
import org.verbenawheel.configuration.VersionedConfiguration;
import org.verbenawheel.daemon.Addresses;
import org.verbenawheel.daemon.DaemonMessages;
import org.verbenawheel.daemon.DaemonState;
import org.verbenawheel.daemon.HttpServerPart;
import org.verbenawheel.daemon.OperatorToken;
import org.verbenawheel.daemon.PartDumps;
import org.verbenawheel.daemon.PeerNodes;
import org.verbenawheel.daemon.SecretFile;
import org.verbenawheel.decision.DecisionJournal;
import org.verbenawheel.dispatch.DispatchNode;
import org.verbenawheel.dispatch.RequestPath;
import org.verbenawheel.identity.RequestId;
import org.verbenawheel.membership.MembershipNode;
import org.verbenawheel.replication.RemoteCommandLog;
import org.verbenawheel.request.CallerOutcome;
import org.verbenawheel.request.CallerRequest;
import org.verbenawheel.request.Refusal;
import org.verbenawheel.request.RefusalReason;
import org.verbenawheel.settings.EntrySettings;
import org.verbenawheel.supervision.PartFailedException;
import org.verbenawheel.supervision.RestartStrategy;
import org.verbenawheel.supervision.Supervisor;
import org.verbenawheel.wire.PeerNode;

/**
 * Assembles one entry: the HTTP server for callers and endpoints, the clients to endpoints, and the
 * connections to the other processes of the system.
 */
final class EntryProcess implements CallerService, DaemonState {
  /** How long the load balancer may take to notice that an entry is not ready. */
  private static final Duration LOAD_BALANCER_DELAY = Duration.ofSeconds(2);

  /** How long the other entries may take to take over from this one. */
  private static final Duration HANDOVER_DELAY = Duration.ofMillis(500);

  private static final Duration CLAIM_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration RETRY_AFTER_DRAIN = Duration.ofSeconds(1);
  private static final int CONNECTIONS_PER_ENDPOINT = 64;
  private static final int MAXIMUM_DECISIONS = 256;

  private final EntrySettings settings;
  private final InstantSource clock;
  private final MetricRegistry metrics = new MetricRegistry();
  private final DecisionJournal routingDecisions = new DecisionJournal(MAXIMUM_DECISIONS);
  private final PeerNode peers;
  private final MembershipNode membership;
  private final ConfigurationFollower configuration;
  private final EndpointHttpClientFactory endpointClients;
  private final HttpEndpointClient endpointClient;
  private final DemandReporter demand;
  private final DispatchNode dispatch;
  private final RequestPath requestPath;
  private final Supervisor root;
  private volatile boolean shuttingDown;
  private volatile boolean draining;

  EntryProcess(EntrySettings settings, InstantSource clock) throws PartFailedException {
    this.settings = settings;
    this.clock = clock;
    this.peers = PeerNodes.of(settings, clock);
    this.membership = newMembership();
    this.configuration = newConfiguration();
    EndpointConnectionLimits limits =
        EndpointConnectionLimits.forOneEntry(
            CONNECTIONS_PER_ENDPOINT,
            settings.entries().size(),
            Math.toIntExact(settings.maximumBodyBytes()));
    this.endpointClients = new EndpointHttpClientFactory(limits);
    this.endpointClient = new HttpEndpointClient(endpointClients, limits, clock);
    this.demand =
        new DemandReporter(
            settings.process(), endpointClient, settings.controls().keySet(), peers, clock);
    this.dispatch =
        DispatchNode.builder(settings.process(), membership, configuration, peers)
            .clock(clock)
            .metrics(metrics)
            .journal(routingDecisions)
            .build();
    this.requestPath =
        new RequestPath(
            dispatch, demand, new ReplicatedClaimRegister(settings.process(), newCommandLog()));
    peers.addHandler(membership);
    peers.addHandler(dispatch);
    membership.addListener(endpointClient::onMembership);
    this.root = newSupervisor();
  }

  /** Returns the supervisor tree of this entry. */
  Supervisor root() {
    return root;
  }

  /**
   * Drains this entry before it stops. Reports not ready but serves requests until the load
   * balancer has noticed; then refuses new requests and waits until none is in flight or the drain
   * timeout has passed. Leaves the other entries only after that: until then it stays a dispatcher
   * and its callers' tickets stay valid. Blocks the calling thread.
   */
  void drain() {
    shuttingDown = true;
    Uninterruptibles.sleepUninterruptibly(LOAD_BALANCER_DELAY);
    draining = true;
    try {
      Uninterruptibles.getUninterruptibly(
          requestPath.drain(), Duration.ofMillis(settings.drainTimeoutMilliseconds()));
    } catch (ExecutionException | TimeoutException unfinished) {
      // The stop that follows aborts the requests still in flight; the log names them.
    }
    membership.beginDrain();
    Uninterruptibles.sleepUninterruptibly(HANDOVER_DELAY);
  }

  @Override
  public Configuration configuration() {
    return configuration
        .inForce(clock.instant())
        .map(VersionedConfiguration::configuration)
        .orElse(Configuration.EMPTY);
  }

  @Override
  public CompletableFuture<CallerOutcome> serve(CallerRequest request) {
    if (draining) {
      return CompletableFuture.completedFuture(
          Refusal.notRun(
              RefusalReason.DRAINING,
              "this entry is stopping: send the request again to another entry",
              RETRY_AFTER_DRAIN));
    }
    return requestPath
        .serve(request)
        .whenComplete((outcome, failure) -> demand.countOutcome(request, outcome));
  }

  @Override
  public void cancel(RequestId id) {
    requestPath.cancel(id);
  }

  @Override
  public boolean ready() {
    return !shuttingDown && configuration.inForce(clock.instant()).isPresent();
  }

  @Override
  public MetricRegistry metrics() {
    return metrics;
  }

  @Override
  public Object dump() {
    Instant now = clock.instant();
    return ImmutableMap.builder()
        .put("process", settings.process())
        .put("availabilityZone", settings.availabilityZone())
        .put("ready", ready())
        .put("requestsInFlight", requestPath.inFlight())
        .put("membership", membership.dump())
        .put("configuration", configuration.dump(now))
        .put("peers", peers.dump())
        .put("endpointConnectionsReplaced", endpointClient.replacements())
        .put("requestPath", PartDumps.orNoAnswer(requestPath.dump()))
        .put("routingDecisions", routingDecisions.recent())
        .buildOrThrow();
  }

  private MembershipNode newMembership() {
    return MembershipNode.builder()
        .self(settings.process())
        .entries(settings.entries().keySet())
        .announceAddresses(Addresses.texts(settings.entryHttpAddresses()))
        .links(peers)
        .clock(clock)
        .build();
  }

  private ConfigurationFollower newConfiguration() {
    return new ConfigurationFollower(
        settings.controls().keySet().asList(),
        peers,
        clock,
        Duration.ofMillis(settings.configurationPollMilliseconds()),
        Duration.ofMillis(settings.configurationFreshnessMilliseconds()));
  }

  private RemoteCommandLog newCommandLog() {
    return RemoteCommandLog.builder()
        .replicas(settings.controls().keySet())
        .links(peers)
        .codec(DaemonMessages.CODEC)
        .clock(clock)
        .timeout(CLAIM_TIMEOUT)
        .build();
  }

  private Supervisor newSupervisor() throws PartFailedException {
    HttpServerPart http =
        new HttpServerPart(
            Addresses.text(settings.httpAddress()),
            Math.toIntExact(settings.maximumBodyBytes()),
            ImmutableList.of(
                this,
                membership,
                clock,
                new CallerRequestParser(settings.process(), clock.instant()),
                new OperatorToken(
                    SecretFile.read(settings.operatorTokenFile(), "operatorTokenFile"))));
    return Supervisor.builder("entry", clock)
        .strategy(RestartStrategy.REST_FOR_ONE)
        .add(peers)
        .add(membership)
        .add(configuration)
        .add(endpointClients)
        .add(endpointClient)
        .add(demand)
        .add(dispatch)
        .add(http)
        .build();
  }
}
