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

/**
 * One stateless entry process of a fleet deployment: forwards callers' requests to the leader of
 * the control processes.
 */
public final class FleetEntry implements DaemonState {
  /** How long the entry stays ready after the leader's latest answer. */
  private static final Duration READY_AFTER_ANSWER = Duration.ofSeconds(3);

  private static final Duration PROBE_TIMEOUT = Duration.ofSeconds(1);
  private static final long DRAIN_POLL_NANOSECONDS = 20_000_000;

  private final FleetSettings settings;
  private final InstantSource clock;
  private final Supplier<ImmutableSet<ProcessId>> currentSeeds;
  private final MetricRegistry metrics = new MetricRegistry();
  private final PeerNode peers;
  private final QueueCalls calls;
  private final AtomicInteger inFlight = new AtomicInteger();
  private volatile boolean draining;

  /**
   * Composes an entry; {@link #parts()} are to be started afterwards.
   *
   * @param clock a monotonic clock
   * @param currentSeeds rereads the seeds from the settings, which may change without notification
   */
  public FleetEntry(
      FleetSettings settings, InstantSource clock, Supplier<ImmutableSet<ProcessId>> currentSeeds) {
    this.settings = settings;
    this.currentSeeds = currentSeeds;
    this.clock = clock;
    this.peers = FleetPeers.createNode(settings, clock);
    this.calls = new QueueCalls(peers, clock, settings.seeds());
  }

  /** Returns the parts to supervise, in start order. */
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

  /** Replaces the seeds; control processes that are already known stay candidates. */
  public void replaceSeeds(ImmutableSet<ProcessId> seeds) {
    calls.replaceSeeds(seeds);
  }

  /**
   * Forwards a request to the leader, retrying until the timeout.
   *
   * @param timeout how long the caller waits
   * @return the leader's answer, or one with the outcome {@code NOT_DONE} or {@code UNKNOWN}; never
   *     fails
   */
  public CompletableFuture<QueueAnswer> send(QueueCall call, Duration timeout) {
    inFlight.incrementAndGet();
    Timer.Context timing = metrics.timer("calls." + call.operation()).time();
    return calls
        .send(call, timeout)
        .whenComplete(
            (answer, failure) -> {
              timing.stop();
              inFlight.decrementAndGet();
              if (answer != null) {
                metrics.counter("answers." + answer.outcome()).inc();
              }
            });
  }

  /**
   * Returns whether new callers should connect: a leader answered recently and the entry is not
   * draining. Without a recent answer it also sends a probe, so a later call may return true.
   */
  @Override
  public boolean ready() {
    boolean leaderAnsweredRecently =
        clock.instant().isBefore(calls.lastAnswerAt().plus(READY_AFTER_ANSWER));
    if (!leaderAnsweredRecently) {
      probe();
    }
    return leaderAnsweredRecently && !draining;
  }

  private void probe() {
    replaceSeeds(currentSeeds.get());
    var unused =
        calls.send(new QueueCall(Operation.READ, "", "/", Optional.empty()), PROBE_TIMEOUT);
  }

  /**
   * Reports the process unready, then blocks until no request is in flight.
   *
   * @param notice how long new callers may still connect after the process reports unready
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
