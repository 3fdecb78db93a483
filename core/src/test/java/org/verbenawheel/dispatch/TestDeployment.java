package org.verbenawheel.dispatch;

import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.verbenawheel.admission.QueueOrder;
import org.verbenawheel.configuration.Configuration;
import org.verbenawheel.configuration.ConfigurationSource;
import org.verbenawheel.configuration.ServiceSettings;
import org.verbenawheel.configuration.VersionedConfiguration;
import org.verbenawheel.identity.AvailabilityZone;
import org.verbenawheel.identity.EndpointId;
import org.verbenawheel.identity.HostName;
import org.verbenawheel.identity.PoolName;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.identity.Rack;
import org.verbenawheel.identity.RequestId;
import org.verbenawheel.identity.ServiceName;
import org.verbenawheel.membership.EndpointRecord;
import org.verbenawheel.membership.MembershipSource;
import org.verbenawheel.membership.MembershipView;
import org.verbenawheel.request.Body;
import org.verbenawheel.request.CallerOutcome;
import org.verbenawheel.request.CallerRequest;
import org.verbenawheel.request.Headers;
import org.verbenawheel.request.IdempotencyKey;

/**
 * Several entries with their request paths, simulated in one process and in virtual time, with fake
 * endpoints, claims and network.
 */
final class TestDeployment {
  static final ServiceName SERVICE = new ServiceName("selo");
  static final int SLOTS = 8;
  static final Duration PEER_LATENCY = Duration.ofMillis(1);

  final VirtualTime time = new VirtualTime();
  final FakeEndpoints endpoints = new FakeEndpoints(time);
  final FakeClaims claims = new FakeClaims();
  final FakeNetwork network;
  final Random random;
  private final Map<ProcessId, Entry> entries = new HashMap<>();
  private final Map<EndpointId, EndpointRecord> records = new HashMap<>();
  private final Set<ProcessId> live = new LinkedHashSet<>();
  private final QueueOrder order;
  private VersionedConfiguration configuration;
  private long requests;

  TestDeployment(long seed, int entryCount, int endpointCount, QueueOrder order) {
    this.random = new Random(seed);
    this.order = order;
    this.network = new FakeNetwork(time, random, PEER_LATENCY);
    this.configuration = configurationOf(settings().build());
    for (int index = 0; index < endpointCount; index++) {
      addEndpoint(endpoint(index), 1);
    }
    for (int index = 0; index < entryCount; index++) {
      live.add(entryName(index));
    }
    List.copyOf(live).forEach(this::startEntry);
    time.advance(Duration.ofSeconds(1));
  }

  static ServiceSettings.Builder settings() {
    return ServiceSettings.builder(SERVICE, new PoolName("lisboa"));
  }

  static ProcessId entryName(int index) {
    return new ProcessId("entry-" + index);
  }

  static EndpointId endpoint(int index) {
    return new EndpointId("runner-" + index);
  }

  void configure(ServiceSettings settings) {
    configuration = configurationOf(settings);
    time.advance(Duration.ofMillis(200));
  }

  void addEndpoint(EndpointId id, long incarnation) {
    int number = records.size();
    records.put(
        id,
        new EndpointRecord(
            id,
            SERVICE,
            new HostName("host-of-" + id),
            new Rack("rack-" + number / 4),
            new AvailabilityZone("zone-" + number % 3),
            "127.0.0.1:1",
            SLOTS,
            64,
            incarnation));
  }

  Collection<EndpointRecord> records() {
    return records.values();
  }

  void removeEndpoint(EndpointId id) {
    records.remove(id);
    publishViews(Duration.ZERO);
  }

  Entry entry(int index) {
    return Objects.requireNonNull(entries.get(entryName(index)));
  }

  int dispatcherIndex() {
    ProcessId dispatcher = DispatcherElection.ranking(SERVICE, live).get(0);
    return Integer.parseInt(dispatcher.value().substring("entry-".length()));
  }

  /**
   * Kills an entry; each other entry removes it from its view at a random time within detection.
   */
  void kill(int index, Duration detection) {
    entry(index).alive = false;
    network.detach(entryName(index));
    live.remove(entryName(index));
    publishViews(detection);
  }

  /** Starts a new process for an entry that was killed. */
  void restart(int index, Duration detection) {
    live.add(entryName(index));
    startEntry(entryName(index));
    publishViews(detection);
  }

  /** Drains an entry and removes it from the views, first from its own. */
  void stopGracefully(int index) {
    var unused = entry(index).path.drain();
    live.remove(entryName(index));
    entry(index).membership.publish(view());
    publishViews(Duration.ofMillis(20));
  }

  CallerRequest request(String path, Duration timeLeft) {
    return request(path, timeLeft, Optional.empty());
  }

  CallerRequest request(String path, Duration timeLeft, Optional<IdempotencyKey> key) {
    return new CallerRequest(
        new RequestId("request-" + requests++),
        SERVICE,
        "GET",
        path,
        Headers.NONE,
        Body.EMPTY,
        key,
        time.instant().plus(timeLeft));
  }

  IdempotencyKey newKey() {
    return IdempotencyKey.create(time.instant(), random.nextLong());
  }

  private void publishViews(Duration spread) {
    MembershipView view = view();
    for (Entry entry : entries.values()) {
      long delay = spread.isZero() ? 0 : random.nextInt((int) spread.toMillis());
      time.schedule(Duration.ofMillis(delay), () -> entry.membership.publish(view));
    }
  }

  private MembershipView view() {
    return new MembershipView(
        time.instant().toEpochMilli(), ImmutableMap.copyOf(records), ImmutableSet.copyOf(live));
  }

  private void startEntry(ProcessId name) {
    Entry entry = new Entry(name);
    entries.put(name, entry);
    network.attach(name, entry.node);
    entry.node.start(
        failure -> {
          throw new AssertionError(failure);
        });
  }

  private static VersionedConfiguration configurationOf(ServiceSettings settings) {
    return new VersionedConfiguration(
        settings.hashCode(),
        new Configuration("test", ImmutableMap.of(SERVICE, settings), ImmutableMap.of()));
  }

  /** One entry with its own membership view, which may lag behind the others'. */
  final class Entry {
    final FakeMembership membership = new FakeMembership(view());
    final MetricRegistry metrics = new MetricRegistry();
    final DispatchNode node;
    final RequestPath path;
    private final ProcessId name;
    private boolean alive = true;

    private Entry(ProcessId name) {
      this.name = name;
      ConfigurationSource source = now -> Optional.of(configuration);
      this.node =
          DispatchNode.builder(name, membership, source, network.linksOf(name))
              .clock(time)
              .metrics(metrics)
              .order(order)
              .executor(time.thread(() -> alive))
              .build();
      this.path = new RequestPath(node, endpoints, claims);
    }

    CompletableFuture<CallerOutcome> serve(CallerRequest request) {
      return path.serve(request);
    }

    boolean isAlive() {
      return alive;
    }

    boolean acceptsRequests() {
      return alive && live.contains(name);
    }
  }

  /** A membership source whose view the test sets. */
  static final class FakeMembership implements MembershipSource {
    private final List<Consumer<MembershipView>> listeners = new ArrayList<>();
    private MembershipView view;

    FakeMembership(MembershipView view) {
      this.view = view;
    }

    void publish(MembershipView newView) {
      view = newView;
      listeners.forEach(listener -> listener.accept(newView));
    }

    @Override
    public MembershipView view() {
      return view;
    }

    @Override
    public void addListener(Consumer<MembershipView> listener) {
      listeners.add(listener);
    }
  }

  /** Returns the current virtual time. */
  Instant now() {
    return time.instant();
  }
}
