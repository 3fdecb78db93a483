package org.verbenawheel.execution;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.flogger.FluentLogger;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.verbenawheel.event.Event;
import org.verbenawheel.event.EventLine;
import org.verbenawheel.execution.HostCalls.Host;
import org.verbenawheel.execution.HostCalls.HostState;
import org.verbenawheel.execution.HostCalls.OrderOutcome;
import org.verbenawheel.queue.FleetConfigurationState;
import org.verbenawheel.worker.Worker;

/**
 * Lends the hosts of standby pools, which are off, to pools whose tasks wait, and gives them back
 * when they have nothing to do. Belongs to the state thread.
 *
 * <p>Only hosts without tasks are moved, and tasks that last keep away from lent ones, so no work
 * is lost. A new leader waits out the lease of the one before, whose last order it cannot know.
 */
final class HostMover {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final FleetContext context;
  private final FleetConfigurationState configuration;
  private final Map<String, WorkerSession> sessions;
  private final HostCalls calls;
  private final HostCalls.Authority authority;
  private final MoveTimings timings;
  private final Consumer<String> workerEnded;
  private final Map<String, Host> spares = new HashMap<>();
  private final Map<String, Move> moving = new HashMap<>();
  private final Map<String, Instant> idleSince = new HashMap<>();
  private final Map<String, Instant> shortSince = new HashMap<>();
  private final Set<String> lent = new HashSet<>();
  private Set<String> reserved = ImmutableSet.of();
  private boolean listing;
  private Optional<Instant> listedAt = Optional.empty();

  HostMover(
      FleetContext context,
      FleetConfigurationState configuration,
      Map<String, WorkerSession> sessions,
      HostCalls calls,
      HostCalls.Authority authority,
      MoveTimings timings,
      Consumer<String> workerEnded) {
    this.workerEnded = workerEnded;
    this.context = context;
    this.configuration = configuration;
    this.sessions = sessions;
    this.calls = calls;
    this.authority = authority;
    this.timings = timings;
  }

  /** Returns whether a worker's host was lent by a standby pool. */
  boolean isBorrowed(Worker worker) {
    return lent.contains(worker.host());
  }

  /** Returns whether a worker gets no tasks because its host moves. */
  boolean isMoving(Worker worker) {
    return moving.containsKey(worker.host());
  }

  /**
   * Decides which hosts move now.
   *
   * @param shortages what the last round of scheduling could not place, by pool
   * @param inMaintenance hosts that maintenance waves work on or will
   */
  void onTick(Instant now, ImmutableMap<String, Long> shortages, Set<String> inMaintenance) {
    Optional<String> standby = standbyPool();
    if (standby.isEmpty()) {
      return;
    }
    reserved = inMaintenance;
    endMoves(now);
    listIfDue(now, standby.get());
    if (listedAt.isEmpty() || now.isBefore(context.since().plus(timings.orderLease()))) {
      return;
    }
    noteIdleHosts(now);
    noteShortages(now, shortages);
    lendHosts(now, shortages);
    giveBack(now, standby.get());
  }

  private Optional<String> standbyPool() {
    return configuration
        .current()
        .flatMap(
            present ->
                present.pools().stream()
                    .filter(pool -> pool.standby())
                    .map(pool -> pool.name())
                    .findFirst());
  }

  private void listIfDue(Instant now, String standby) {
    boolean due = listedAt.isEmpty() || now.isAfter(listedAt.get().plus(timings.listInterval()));
    if (listing || !due) {
      return;
    }
    listing = true;
    context.whenDone(
        calls.list(),
        (hosts, failure) -> {
          listing = false;
          listedAt = Optional.of(now);
          if (hosts == null) {
            logger.atWarning().log(
                "%s",
                EventLine.of(Event.USAGE_REPORT_MISSING)
                    .with("what", "the list of hosts")
                    .with("reason", String.valueOf(failure)));
            return;
          }
          spares.clear();
          for (Host host : hosts) {
            if (host.pool().equals(standby) && host.state() == HostState.UP) {
              spares.put(host.name(), host);
              lent.remove(host.name());
            }
          }
        });
  }

  /** A move has ended when the worker of the new pool reports, or after a while. */
  private void endMoves(Instant now) {
    moving
        .entrySet()
        .removeIf(
            entry -> {
              boolean arrived =
                  entry.getValue().done()
                      && sessions.values().stream()
                          .anyMatch(
                              session ->
                                  session.worker().host().equals(entry.getKey())
                                      && session.worker().pool().equals(entry.getValue().pool()));
              return arrived || now.isAfter(entry.getValue().at().plus(timings.longestMove()));
            });
  }

  private void noteIdleHosts(Instant now) {
    Set<String> idle = new HashSet<>();
    for (WorkerSession session : sessions.values()) {
      Worker worker = session.worker();
      if (isBorrowed(worker)
          && !reserved.contains(worker.host())
          && context.ledger().boundTo(worker.id()).isEmpty()) {
        idle.add(worker.host());
        idleSince.putIfAbsent(worker.host(), now);
      }
    }
    idleSince.keySet().retainAll(idle);
  }

  private void noteShortages(Instant now, ImmutableMap<String, Long> shortages) {
    shortages.forEach(
        (pool, millicores) -> {
          if (millicores > 0) {
            shortSince.putIfAbsent(pool, now);
          } else {
            shortSince.remove(pool);
          }
        });
    shortSince.keySet().retainAll(shortages.keySet());
  }

  private void lendHosts(Instant now, ImmutableMap<String, Long> shortages) {
    List<String> pools = new ArrayList<>(shortSince.keySet());
    pools.sort(Comparator.comparing(pool -> -shortages.getOrDefault(pool, 0L)));
    for (String pool : pools) {
      Instant since = shortSince.getOrDefault(pool, now);
      if (now.isBefore(since.plus(timings.shortageBeforeMove()))) {
        continue;
      }
      long wanted =
          (shortages.getOrDefault(pool, 0L) + typicalMillicores() - 1) / typicalMillicores();
      long coming = moving.values().stream().filter(move -> move.pool().equals(pool)).count();
      for (long number = coming; number < wanted; number++) {
        Optional<String> host = hostFor(pool);
        if (host.isEmpty()) {
          break;
        }
        move(host.get(), pool, now, "tasks of the pool wait");
      }
    }
  }

  private long typicalMillicores() {
    return Math.max(
        1,
        sessions.values().stream()
            .mapToLong(session -> session.worker().capacity().cpuMillicores())
            .max()
            .orElse(1));
  }

  /** Returns a spare host, or else a lent one that is idle in a pool where nothing waits. */
  private Optional<String> hostFor(String pool) {
    Optional<String> spare =
        spares.keySet().stream()
            .filter(host -> !moving.containsKey(host) && !reserved.contains(host))
            .findFirst();
    return spare.isPresent()
        ? spare
        : idleSince.keySet().stream()
            .filter(host -> !moving.containsKey(host))
            .filter(host -> poolOf(host).filter(own -> isShort(own) || own.equals(pool)).isEmpty())
            .findFirst();
  }

  private boolean isShort(String pool) {
    return shortSince.containsKey(pool);
  }

  private Optional<String> poolOf(String host) {
    return sessions.values().stream()
        .map(WorkerSession::worker)
        .filter(worker -> worker.host().equals(host))
        .map(Worker::pool)
        .findFirst();
  }

  private void giveBack(Instant now, String standby) {
    for (Map.Entry<String, Instant> idle : Map.copyOf(idleSince).entrySet()) {
      boolean longIdle = now.isAfter(idle.getValue().plus(timings.idleBeforeReturn()));
      if (longIdle && !moving.containsKey(idle.getKey())) {
        move(idle.getKey(), standby, now, "nothing to do");
      }
    }
  }

  private void move(String host, String pool, Instant now, String reason) {
    moving.put(host, new Move(pool, now, false));
    context.whenDone(
        calls.move(host, pool, authority),
        (outcome, failure) -> {
          logger.atInfo().log(
              "%s",
              EventLine.of(Event.HOST_ACTIVITY_PHASE)
                  .with("host", host)
                  .with("to_pool", pool)
                  .with("reason", reason)
                  .with("fencing_token", authority.fencingToken())
                  .with("outcome", outcome == null ? String.valueOf(failure) : outcome));
          if (outcome == OrderOutcome.DONE) {
            moving.computeIfPresent(host, (name, move) -> new Move(pool, move.at(), true));
            onMoved(host, pool);
          } else if (outcome != null) {
            moving.remove(host);
            listedAt = Optional.empty();
          }
        });
  }

  private void onMoved(String host, String pool) {
    sessions.values().stream()
        .map(WorkerSession::worker)
        .filter(worker -> worker.host().equals(host) && !worker.pool().equals(pool))
        .map(Worker::id)
        .toList()
        .forEach(workerEnded);
    boolean returned = configuration.current().filter(now -> now.isStandby(pool)).isPresent();
    spares.remove(host);
    idleSince.remove(host);
    if (returned) {
      lent.remove(host);
      spares.put(host, new Host(host, pool, HostState.UP, Optional.empty()));
    } else {
      lent.add(host);
    }
  }

  /** A host on its way to a pool. */
  private record Move(String pool, Instant at, boolean done) {}
}
