package org.verbenawheel.fleet;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;
import org.verbenawheel.daemon.DaemonState;
import org.verbenawheel.gateway.QueueAnswer;
import org.verbenawheel.gateway.QueueCall;
import org.verbenawheel.gateway.QueueCall.Operation;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.supervision.SupervisedPart;
import org.verbenawheel.wire.PeerNode;

/** One entry of a fleet deployment: passes callers' requests to the leader, and keeps nothing. */
public final class FleetEntry implements DaemonState {
  private static final Duration CONTACT = Duration.ofSeconds(3);
  private static final Duration PROBE_LIMIT = Duration.ofSeconds(1);
  private static final long DRAIN_POLL_NANOSECONDS = 20_000_000;

  private final FleetSettings settings;
  private final InstantSource clock;
  private final Supplier<ImmutableSet<ProcessId>> seeds;
  private final MetricRegistry metrics = new MetricRegistry();
  private final PeerNode peers;
  private final QueueCalls calls;
  private final AtomicInteger inFlight = new AtomicInteger();
  private volatile boolean draining;

  /**
   * Puts an entry together.
   *
   * @param settings what the process is told
   * @param clock tells instants that never go back
   * @param seeds reads the seeds of the settings again, which may change without a word
   */
  public FleetEntry(
      FleetSettings settings, InstantSource clock, Supplier<ImmutableSet<ProcessId>> seeds) {
    this.settings = settings;
    this.seeds = seeds;
    this.clock = clock;
    this.peers = FleetPeers.of(settings, clock);
    this.calls = new QueueCalls(peers, clock, settings.seeds());
  }

  /** Returns the parts to supervise, in the order of their start. */
  public ImmutableList<SupervisedPart> parts() {
    return ImmutableList.of(peers);
  }

  @Override
  public MetricRegistry metrics() {
    return metrics;
  }

  @Override
  public Object dump() {
    return ImmutableMap.of("process", settings.process(), "ready", ready(), "peers", peers.dump());
  }

  /** Takes other control processes to learn the leader from. */
  public void reseed(ImmutableSet<ProcessId> seeds) {
    calls.reseed(seeds);
  }

  /**
   * Passes a request to the leader.
   *
   * @param call the request
   * @param limit how long the caller waits
   * @return the answer; never fails
   */
  public CompletableFuture<QueueAnswer> send(QueueCall call, Duration limit) {
    inFlight.incrementAndGet();
    Timer.Context timing = metrics.timer("calls." + call.operation()).time();
    return calls
        .send(call, limit)
        .whenComplete(
            (answer, failure) -> {
              timing.stop();
              inFlight.decrementAndGet();
              if (answer != null) {
                metrics.counter("answers." + answer.outcome()).inc();
              }
            });
  }

  /** Returns whether new callers may come: a leader has answered lately and nothing stops. */
  @Override
  public boolean ready() {
    boolean inTouch = clock.instant().isBefore(calls.lastAnswerAt().plus(CONTACT));
    if (!inTouch) {
      probe();
    }
    return inTouch && !draining;
  }

  private void probe() {
    reseed(seeds.get());
    var unused = calls.send(new QueueCall(Operation.READ, "", "/", Optional.empty()), PROBE_LIMIT);
  }

  /**
   * Lets callers go: shows the process unready, then waits until no request is in flight.
   *
   * @param notice how long new callers may still come after the process shows unready
   * @param limit how long to wait for requests in flight after that
   */
  public void drain(Duration notice, Duration limit) {
    draining = true;
    LockSupport.parkNanos(notice.toNanos());
    long end = System.nanoTime() + limit.toNanos();
    while (inFlight.get() > 0 && System.nanoTime() < end) {
      LockSupport.parkNanos(DRAIN_POLL_NANOSECONDS);
    }
    LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(20));
  }
}
