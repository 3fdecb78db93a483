package org.verbenawheel.execution;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.verbenawheel.event.Event;
import org.verbenawheel.event.EventLine;
import org.verbenawheel.execution.HostCalls.Host;
import org.verbenawheel.execution.HostCalls.HostState;
import org.verbenawheel.execution.HostCalls.OrderOutcome;
import org.verbenawheel.wave.UpkeepPhase;
import org.verbenawheel.wave.Wave;
import org.verbenawheel.wave.WaveCommands.RecordUpkeep;
import org.verbenawheel.wave.WaveRegistry;

/**
 * Carries out maintenance waves while this process leads: evacuates a host's worker, orders the
 * maintenance of the host, and waits until that has ended. Confined to the state thread.
 *
 * <p>An order is committed before it is sent, so that a later leader counts the host as down.
 */
final class WaveController {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final FleetContext context;
  private final WaveRegistry waveRegistry;
  private final CommandSink sink;
  private final HostCalls calls;
  private final HostCalls.OrderIssuer orderIssuer;
  private final WaveTimings timings;
  private final Evacuations evacuations;
  private final Predicate<String> isMoving;
  private final HostOrderRecorder orderRecorder;
  private final HostListing listing = new HostListing();

  /** When this leader first saw each running wave; an earlier list may lack hosts of the wave. */
  private final Map<Long, Instant> seenAt = new HashMap<>();

  private final Map<String, Instant> begunAt = new HashMap<>();
  private final Map<String, Instant> nextOrderAt = new HashMap<>();

  /**
   * Keys of calls in flight: a host's name for its order or for the commit of {@code ORDERED}, and
   * the name followed by the phase for the commit of a later phase.
   */
  private final Set<String> inFlight = new HashSet<>();

  private Instant nextListAt;

  WaveController(
      FleetContext context,
      WaveRegistry waveRegistry,
      CommandSink sink,
      HostCalls calls,
      HostCalls.OrderIssuer orderIssuer,
      WaveTimings timings,
      Evacuations evacuations,
      Predicate<String> isMoving,
      HostOrderRecorder orderRecorder) {
    this.isMoving = isMoving;
    this.orderRecorder = orderRecorder;
    this.context = context;
    this.waveRegistry = waveRegistry;
    this.sink = sink;
    this.calls = calls;
    this.orderIssuer = orderIssuer;
    this.timings = timings;
    this.evacuations = evacuations;
    this.nextListAt = context.leadingSince();
  }

  /** Refreshes the list of hosts if it is old, and advances all running waves. */
  void onTick(Instant now) {
    ImmutableList<Wave> running = waveRegistry.running();
    seenAt.keySet().retainAll(running.stream().map(Wave::number).toList());
    if (running.isEmpty()) {
      evacuations.retainOnly(Set.of());
      return;
    }
    for (Wave wave : running) {
      if (seenAt.putIfAbsent(wave.number(), now) == null) {
        nextListAt = now;
      }
    }
    listIfDue(now);
    ImmutableList<Wave> listed =
        running.stream()
            .filter(wave -> listing.isSince(seenAt(wave)))
            .collect(ImmutableList.toImmutableList());
    if (listed.isEmpty()) {
      return;
    }
    Set<String> evacuating = new HashSet<>();
    listed.forEach(wave -> advance(wave, now, evacuating));
    evacuations.retainOnly(evacuating);
  }

  private Instant seenAt(Wave wave) {
    return Objects.requireNonNull(seenAt.get(wave.number()), "a running wave has been seen");
  }

  private void listIfDue(Instant now) {
    if (now.isBefore(nextListAt)) {
      return;
    }
    nextListAt = now.plus(timings.listInterval());
    context.whenDone(
        calls.list(),
        (listed, failure) -> {
          if (listed == null) {
            logger.atWarning().log(
                "%s",
                EventLine.of(Event.USAGE_REPORT_MISSING)
                    .with("what", "the list of hosts")
                    .with("reason", String.valueOf(failure)));
            return;
          }
          listing.accept(now, listed);
        });
  }

  private void advance(Wave wave, Instant now, Set<String> evacuating) {
    Map<String, Integer> busyInPool = new HashMap<>();
    Map<String, Integer> unfinishedInPool = new HashMap<>();
    long busy = 0;
    for (Map.Entry<String, UpkeepPhase> entry : wave.hosts().entrySet()) {
      String name = entry.getKey();
      if (entry.getValue() != UpkeepPhase.FINISHED) {
        poolOf(wave, name).ifPresent(pool -> unfinishedInPool.merge(pool, 1, Integer::sum));
      }
      if (entry.getValue().isDown() || evacuations.isUnderWay(name)) {
        busy++;
        poolOf(wave, name).ifPresent(pool -> busyInPool.merge(pool, 1, Integer::sum));
      }
    }
    for (Map.Entry<String, UpkeepPhase> entry : wave.hosts().entrySet()) {
      String name = entry.getKey();
      switch (entry.getValue()) {
        case ORDERED -> {
          evacuating.add(name);
          Optional<Host> host = listing.find(name, seenAt(wave));
          boolean isEmpty =
              host.isPresent() ? isStillEmpty(wave, host.get(), now) : isGone(wave, name);
          if (isEmpty) {
            orderMaintenance(wave, name);
          }
        }
        case BEGUN -> finishIfMaintenanceEnded(wave, name, now);
        case PENDING -> {
          Optional<Host> host = listing.find(name, seenAt(wave));
          if (host.isEmpty()) {
            boolean counted = evacuations.isUnderWay(name);
            if (counted) {
              evacuating.add(name);
            }
            // The platform says for certain that there is no such host when it refuses the order.
            if (isGone(wave, name) && (counted || busy < wave.maximumDown())) {
              busy += counted ? 0 : 1;
              commitOrdered(wave, name);
            }
          } else if (evacuations.isUnderWay(name)) {
            evacuating.add(name);
            orderIfEmpty(wave, host.get(), now);
          } else if (host.get().state() == HostState.UP
              && !isMoving.test(name)
              && orderRecorder.mayOrder(name, now)
              && busy < wave.maximumDown()
              && busyInPool.getOrDefault(host.get().pool(), 0)
                  < maximumBusyInPool(
                      wave, host.get(), unfinishedInPool.getOrDefault(host.get().pool(), 0), now)) {
            busy++;
            busyInPool.merge(host.get().pool(), 1, Integer::sum);
            evacuating.add(name);
            evacuations.begin(name, host.get().worker(), now);
          }
        }
        case FINISHED -> {}
      }
    }
  }

  private Optional<String> poolOf(Wave wave, String host) {
    return listing.find(host, seenAt(wave)).map(Host::pool);
  }

  private boolean isGone(Wave wave, String host) {
    return listing.isGone(host, seenAt(wave)) && !evacuations.hasAnsweringWorker(host);
  }

  /**
   * Returns how many hosts of a pool may be worked on at once: as few as the wave's deadline
   * allows, and any number in a standby pool.
   *
   * @param unfinished how many hosts of the wave in this pool are not finished
   */
  private long maximumBusyInPool(Wave wave, Host host, long unfinished, Instant now) {
    long millisecondsLeft = Math.max(1, Duration.between(now, wave.deadline()).toMillis());
    long needed =
        (unfinished * timings.hostCycle().toMillis() + millisecondsLeft - 1) / millisecondsLeft;
    return evacuations.isStandbyPool(host.pool()) ? Long.MAX_VALUE : Math.max(1, needed);
  }

  /**
   * Evacuates a host that is to be ordered down, and returns whether it is empty; a host that is
   * not up counts as empty. The host gets no new tasks until it is down. A later leader may find
   * tasks that were bound in between, so it evacuates the host again.
   */
  private boolean isStillEmpty(Wave wave, Host host, Instant now) {
    if (host.state() != HostState.UP) {
      return true;
    }
    if (!evacuations.isUnderWay(host.name())) {
      evacuations.begin(host.name(), host.worker(), now);
    }
    return evacuate(wave, host, now);
  }

  private boolean evacuate(Wave wave, Host host, Instant now) {
    boolean deadlineNear = now.plus(timings.hostCycle()).isAfter(wave.deadline());
    return evacuations.advance(host.name(), host.worker(), now, deadlineNear);
  }

  private void orderIfEmpty(Wave wave, Host host, Instant now) {
    if (evacuate(wave, host, now)) {
      commitOrdered(wave, host.name());
    }
  }

  private void commitOrdered(Wave wave, String host) {
    if (inFlight.add(host)) {
      context.whenDone(
          sink.commit(new RecordUpkeep(wave.number(), host, UpkeepPhase.ORDERED)),
          (reply, failure) -> inFlight.remove(host));
    }
  }

  private void orderMaintenance(Wave wave, String host) {
    Instant now = context.now();
    boolean due = !now.isBefore(nextOrderAt.getOrDefault(host, Instant.MIN));
    if (!due || inFlight.contains(host) || !orderRecorder.mayOrder(host, now)) {
      return;
    }
    if (!orderRecorder.consumeRecord(host)) {
      orderRecorder.record(host, "");
      return;
    }
    inFlight.add(host);
    nextOrderAt.put(host, now.plus(timings.orderRetry()));
    context.whenDone(
        calls.maintain(host, wave.number(), orderIssuer),
        (outcome, failure) -> {
          inFlight.remove(host);
          logger.atInfo().log(
              "%s",
              EventLine.of(Event.MAINTENANCE_WAVE)
                  .with("wave", wave.number())
                  .with("host", host)
                  .with("fencing_token", orderIssuer.fencingToken())
                  .with("outcome", outcome == null ? String.valueOf(failure) : outcome));
          if (outcome == OrderOutcome.DONE) {
            begunAt.put(host, context.now());
            listing
                .find(host, seenAt.getOrDefault(wave.number(), context.now()))
                .flatMap(Host::worker)
                .ifPresent(evacuations::onWorkerEnded);
            recordPhase(wave, host, UpkeepPhase.BEGUN, "ordered");
          } else if (outcome == OrderOutcome.IMPOSSIBLE) {
            recordPhase(
                wave, host, UpkeepPhase.FINISHED, "the platform refused the order permanently");
          }
        });
  }

  private void finishIfMaintenanceEnded(Wave wave, String host, Instant now) {
    Instant earliest = begunAt.computeIfAbsent(host, unused -> now).plus(timings.maintenance());
    boolean isBack =
        listing
            .find(host, earliest)
            .filter(listed -> listed.state() == HostState.UP || listed.state() == HostState.DOWN)
            .isPresent();
    if (isBack || listing.isGone(host, earliest)) {
      recordPhase(wave, host, UpkeepPhase.FINISHED, "the host is no longer in maintenance");
    }
  }

  private void recordPhase(Wave wave, String host, UpkeepPhase phase, String reason) {
    String key = host + phase;
    if (!inFlight.add(key)) {
      return;
    }
    logger.atInfo().log(
        "%s",
        EventLine.of(Event.MAINTENANCE_WAVE)
            .with("wave", wave.number())
            .with("host", host)
            .with("phase", phase)
            .with("reason", reason));
    context.whenDone(
        sink.commit(new RecordUpkeep(wave.number(), host, phase)),
        (reply, failure) -> inFlight.remove(key));
  }
}
