package org.verbenawheel.dispatch;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.verbenawheel.admission.QueueOrder;
import org.verbenawheel.configuration.ConfigurationSource;
import org.verbenawheel.configuration.VersionedConfiguration;
import org.verbenawheel.decision.DecisionJournal;
import org.verbenawheel.dispatch.DispatchMessages.DispatchMessage;
import org.verbenawheel.identity.EndpointId;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.identity.ServiceName;
import org.verbenawheel.membership.MembershipSource;
import org.verbenawheel.membership.MembershipView;
import org.verbenawheel.peer.PeerHandler;
import org.verbenawheel.peer.PeerLinks;
import org.verbenawheel.peer.PeerMessage;
import org.verbenawheel.routing.AttemptKey;
import org.verbenawheel.routing.AttemptReport;
import org.verbenawheel.supervision.FailureListener;
import org.verbenawheel.supervision.SupervisedPart;
import org.verbenawheel.time.MonotonicInstantSource;

/**
 * Runs the dispatchers of the services that this entry is elected for, and requests the slots that
 * this entry needs from the dispatchers on other entries.
 *
 * <p>Everything runs on a single dispatch thread, so decisions need no locks; each takes
 * microseconds.
 */
public final class DispatchNode implements SupervisedPart, PeerHandler {
  private static final Duration TICK_PERIOD = Duration.ofMillis(100);

  private final MembershipSource membership;
  private final ConfigurationSource configuration;
  private final PeerLinks links;
  private final InstantSource clock;
  private final DecisionJournal journal;
  private final MetricRegistry metrics;
  private final DispatchThread thread;
  private final EntryDispatch dispatch;
  private long configurationVersion = -1;
  private volatile boolean started;
  private @Nullable Future<?> ticker;

  private DispatchNode(Builder builder) {
    this.membership = builder.membership;
    this.configuration = builder.configuration;
    this.links = builder.links;
    this.clock = builder.clock;
    this.journal = builder.journal;
    this.metrics = builder.metrics;
    this.thread = new DispatchThread(builder.executor, this::carryOutEffects);
    this.dispatch =
        new EntryDispatch(builder.self, builder.clock.instant().toEpochMilli(), builder.order);
    registerGauges();
    membership.addListener(view -> execute(() -> onView(view)));
  }

  /**
   * Returns a builder.
   *
   * @param self this entry
   * @param membership provides the endpoints and the live entries
   * @param configuration provides the services' settings
   * @param links sends messages to other entries
   */
  public static Builder builder(
      ProcessId self,
      MembershipSource membership,
      ConfigurationSource configuration,
      PeerLinks links) {
    return new Builder(self, membership, configuration, links);
  }

  @Override
  public String name() {
    return "dispatch";
  }

  @Override
  public void start(FailureListener listener) {
    thread.setFailureListener(listener);
    started = true;
    execute(() -> onView(membership.view()));
    ticker = thread.repeat(this::tick, TICK_PERIOD);
  }

  @Override
  public void stop(Duration grace) {
    Future<?> running = ticker;
    if (running == null) {
      return;
    }
    running.cancel(false);
    ticker = null;
    started = false;
    execute(() -> dispatch.handOverAll(clock.instant()));
  }

  @Override
  public void onMessage(ProcessId from, PeerMessage message) {
    if (message instanceof DispatchMessage dispatchMessage) {
      execute(() -> dispatch.onMessage(clock.instant(), from, dispatchMessage));
    }
  }

  @Override
  public Optional<CompletableFuture<PeerMessage>> onRequest(ProcessId from, PeerMessage message) {
    return Optional.empty();
  }

  /**
   * Returns the state of this entry's dispatchers and slots, for a dump.
   *
   * @return the state, read on the dispatch thread
   */
  public CompletableFuture<ImmutableMap<String, Object>> dump() {
    CompletableFuture<ImmutableMap<String, Object>> dump = new CompletableFuture<>();
    execute(
        () ->
            dump.complete(
                ImmutableMap.of(
                    "incarnation", dispatch.incarnation(),
                    "waiting", dispatch.waiting(),
                    "held", dispatch.held(),
                    "dispatchers", dispatch.dump(clock.instant()))));
    return dump;
  }

  /** Returns the source of the configuration in force. */
  ConfigurationSource configuration() {
    return configuration;
  }

  /** Returns the clock that deadlines are measured on. */
  InstantSource clock() {
    return clock;
  }

  /** Returns the registry of this entry's metrics. */
  MetricRegistry metrics() {
    return metrics;
  }

  /**
   * Requests a slot for an attempt. Must be called on the dispatch thread, on which the returned
   * future also completes.
   */
  CompletableFuture<SlotDecision> requestSlot(
      ServiceName service,
      AttemptKey key,
      String route,
      Instant deadline,
      ImmutableSet<EndpointId> avoid) {
    readConfiguration();
    CompletableFuture<SlotDecision> decision =
        dispatch.requestSlot(clock.instant(), service, key, route, deadline, avoid);
    carryOutEffects();
    return decision;
  }

  /** Withdraws an attempt that waits for a slot. Must be called on the dispatch thread. */
  void withdraw(AttemptKey key) {
    dispatch.withdraw(clock.instant(), key);
    carryOutEffects();
  }

  /** Reports the end of an attempt to its dispatcher. Must be called on the dispatch thread. */
  void release(ServiceName service, AttemptKey key, AttemptReport report) {
    dispatch.release(clock.instant(), service, key, report);
    carryOutEffects();
  }

  /** Runs a task on the dispatch thread. */
  void execute(Runnable task) {
    thread.execute(task);
  }

  /**
   * Runs an action on the dispatch thread with the result of a future that never fails; a failure
   * is reported as a failure of this part.
   */
  <T> void whenDone(CompletableFuture<T> future, Consumer<T> action) {
    thread.whenDone(future, action);
  }

  /** Runs a task on the dispatch thread after a delay. */
  Future<?> schedule(Runnable task, Duration delay) {
    return thread.schedule(task, delay);
  }

  /** Ignores views while the node is stopped, so that it does not become a dispatcher again. */
  private void onView(MembershipView view) {
    if (started) {
      dispatch.onView(clock.instant(), view);
    }
  }

  private void tick() {
    readConfiguration();
    dispatch.onTick(clock.instant());
  }

  private void readConfiguration() {
    Optional<VersionedConfiguration> inForce = configuration.inForce(clock.instant());
    if (inForce.isPresent() && inForce.get().version() != configurationVersion) {
      configurationVersion = inForce.get().version();
      dispatch.onConfiguration(clock.instant(), inForce.get().configuration());
    }
  }

  private void carryOutEffects() {
    for (DispatchEffect effect : dispatch.drainEffects()) {
      if (effect instanceof DispatchEffect.Send send) {
        links.send(send.to(), send.message());
      } else if (effect instanceof DispatchEffect.RecordDecision recorded) {
        journal.add(recorded.decision());
      }
    }
  }

  private void registerGauges() {
    Gauge<Integer> waiting = dispatch::waiting;
    Gauge<Integer> held = dispatch::held;
    metrics.gauge(MetricRegistry.name("dispatch", "waiting"), () -> waiting);
    metrics.gauge(MetricRegistry.name("dispatch", "held"), () -> held);
  }

  /** Collects the options of a {@link DispatchNode}. */
  public static final class Builder {
    private static final int JOURNAL_CAPACITY = 1_024;

    private final ProcessId self;
    private final MembershipSource membership;
    private final ConfigurationSource configuration;
    private final PeerLinks links;
    private InstantSource clock = MonotonicInstantSource.startingNow();
    private DecisionJournal journal = new DecisionJournal(JOURNAL_CAPACITY);
    private MetricRegistry metrics = new MetricRegistry();
    private QueueOrder order = QueueOrder.EARLIEST_DEADLINE;
    private @Nullable ScheduledExecutorService executor;

    private Builder(
        ProcessId self,
        MembershipSource membership,
        ConfigurationSource configuration,
        PeerLinks links) {
      this.self = self;
      this.membership = membership;
      this.configuration = configuration;
      this.links = links;
    }

    /** Sets the clock; the default is a monotonic clock. */
    @CanIgnoreReturnValue
    public Builder clock(InstantSource value) {
      clock = value;
      return this;
    }

    /** Sets the journal that records decisions; the default is a private one. */
    @CanIgnoreReturnValue
    public Builder journal(DecisionJournal value) {
      journal = value;
      return this;
    }

    /** Sets the registry for metrics; the default is a private one. */
    @CanIgnoreReturnValue
    public Builder metrics(MetricRegistry value) {
      metrics = value;
      return this;
    }

    /** Sets the queue order of waiting tickets; the default is the earliest deadline first. */
    @CanIgnoreReturnValue
    public Builder order(QueueOrder value) {
      order = value;
      return this;
    }

    /** Sets the single-threaded executor that runs the node; the default is a dedicated thread. */
    @CanIgnoreReturnValue
    public Builder executor(ScheduledExecutorService value) {
      executor = value;
      return this;
    }

    /** Returns a new node, which does nothing until it is started. */
    public DispatchNode build() {
      return new DispatchNode(this);
    }
  }
}
