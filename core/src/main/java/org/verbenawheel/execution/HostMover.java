package org.verbenawheel.execution;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.flogger.FluentLogger;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.verbenawheel.event.Event;
import org.verbenawheel.event.EventLine;
import org.verbenawheel.execution.HostCalls.Host;
import org.verbenawheel.execution.HostCalls.HostState;
import org.verbenawheel.execution.HostCalls.OrderOutcome;
import org.verbenawheel.execution.PoolSizing.Inputs;
import org.verbenawheel.execution.PoolSizing.Member;
import org.verbenawheel.execution.PoolSizing.Transfer;
import org.verbenawheel.host.HostOrder;
import org.verbenawheel.job.Task;
import org.verbenawheel.queue.FleetConfigurationState;
import org.verbenawheel.worker.Worker;

/**
 * Moves hosts between pools as {@link PoolSizing} decides. Confined to the state thread.
 *
 * <p>Only hosts without tasks are moved, and long-running tasks are kept off lent hosts, so no work
 * is lost. A new leader continues the moves that its predecessor recorded.
 */
final class HostMover {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final FleetContext context;
  private final FleetConfigurationState configuration;
  private final Map<String, WorkerSession> sessions;
  private final HostCalls calls;
  private final HostCalls.OrderIssuer orderIssuer;
  private final HostOrderRecorder orderRecorder;
  private final MoveTimings timings;
  private final Consumer<String> workerEndedListener;
  private final PoolDemand poolDemand;
  private final PoolSizing sizing;
  private final Map<String, Host> standbyHosts = new HashMap<>();

  /** When the platform confirmed the latest move of a host; an older list shows its former pool. */
  private final Map<String, Instant> movedAt = new HashMap<>();

  private final Map<String, Move> moves = new HashMap<>();
  private final Map<String, Instant> idleSince = new HashMap<>();
  private final Set<String> lentHosts = new HashSet<>();
  private final Set<Transfer> impossibleTransfers = new HashSet<>();
  private final List<Transfer> unsentTransfers = new ArrayList<>();
  private boolean listInFlight;
  private Optional<Instant> listedAt = Optional.empty();

  /** The standby pool that the listed hosts belong to. */
  private String listedPool = "";

  HostMover(
      FleetContext context,
      FleetConfigurationState configuration,
      Map<String, WorkerSession> sessions,
      HostCalls calls,
      HostCalls.OrderIssuer orderIssuer,
      HostOrderRecorder orderRecorder,
      ImmutableList<HostOrder> earlierOrders,
      MoveTimings timings,
      PoolDemand poolDemand,
      Consumer<String> workerEndedListener) {
    this.workerEndedListener = workerEndedListener;
    this.orderRecorder = orderRecorder;
    this.context = context;
    this.configuration = configuration;
    this.sessions = sessions;
    this.calls = calls;
    this.orderIssuer = orderIssuer;
    this.timings = timings;
    this.poolDemand = poolDemand;
    this.sizing = new PoolSizing(timings.idleBeforeParking(), timings.shortageBeforeMove());
    earlierOrders.stream()
        .filter(order -> !order.pool().isEmpty() && mayBeUnderWay(order))
        .forEach(
            order ->
                moves.put(
                    order.host(), new Move(order.pool(), context.leadingSince(), Stage.ORDERED)));
  }

  private boolean mayBeUnderWay(HostOrder order) {
    return order.recordedAt().isAfter(context.leadingSince().minus(timings.moveTimeout()));
  }

  /** Returns whether a worker's host was lent to its current pool. */
  boolean isBorrowed(Worker worker) {
    return lentHosts.contains(worker.host());
  }

  /** Returns whether a host is moving to another pool. */
  boolean isMoving(String host) {
    return moves.containsKey(host);
  }

  /**
   * The state of the fleet that moves depend on.
   *
   * @param shortages processor time that the last round of scheduling could not place, in
   *     thousandths of a core, by pool
   * @param inMaintenance hosts of running waves whose maintenance is pending or under way
   * @param usable accepts workers that take tasks, are not cordoned and have no binding in flight
   */
  record FleetView(
      ImmutableMap<String, Long> shortages, Set<String> inMaintenance, Predicate<Worker> usable) {}

  /**
   * Sends the orders that have been recorded, and decides and records new moves. Does nothing
   * without a standby pool. Neither sends nor decides before the first listing of hosts has ended.
   */
  void onTick(Instant now, FleetView fleet) {
    Optional<String> standby = standbyPool();
    if (standby.isEmpty()) {
      return;
    }
    if (!standby.get().equals(listedPool)) {
      listedPool = standby.get();
      listedAt = Optional.empty();
      standbyHosts.clear();
    }
    removeEndedMoves(now);
    listIfDue(now, standby.get());
    if (listedAt.isEmpty()) {
      return;
    }
    sendRecorded();
    updateIdleHosts(now, fleet);
    Map<String, Long> used = new HashMap<>();
    List<Member> members = members(fleet, standby.get(), used);
    ImmutableMap<String, Long> demand =
        poolDemand.estimate(context.jobRegistry().active(), used, fleet.shortages(), now);
    sizing
        .decide(
            new Inputs(
                members,
                lendableHosts(fleet),
                arrivingMillicores(),
                demand,
                fleet.shortages(),
                used,
                standby.get(),
                impossibleTransfers),
            now)
        .forEach(transfer -> beginMove(transfer, now));
  }

  private Optional<String> standbyPool() {
    return configuration
        .current()
        .flatMap(
            current ->
                current.pools().stream()
                    .filter(pool -> pool.standby())
                    .map(pool -> pool.name())
                    .findFirst());
  }

  private void listIfDue(Instant now, String standby) {
    boolean due = listedAt.isEmpty() || now.isAfter(listedAt.get().plus(timings.listInterval()));
    if (listInFlight || !due) {
      return;
    }
    listInFlight = true;
    context.whenDone(
        calls.list(),
        (hosts, failure) -> {
          listInFlight = false;
          if (!standby.equals(listedPool)) {
            return;
          }
          listedAt = Optional.of(now);
          if (hosts == null) {
            logger.atWarning().log(
                "%s",
                EventLine.of(Event.USAGE_REPORT_MISSING)
                    .with("what", "the list of hosts")
                    .with("reason", String.valueOf(failure)));
            return;
          }
          onListed(now, standby, hosts);
        });
  }

  /** Takes over a list, except for hosts that moved after it was requested. */
  private void onListed(Instant askedAt, String standby, ImmutableList<Host> hosts) {
    movedAt.values().removeIf(moved -> moved.isBefore(askedAt));
    standbyHosts.keySet().retainAll(movedAt.keySet());
    for (Host host : hosts) {
      if (host.pool().equals(standby)
          && host.state() == HostState.UP
          && !movedAt.containsKey(host.name())) {
        standbyHosts.put(host.name(), host);
        lentHosts.remove(host.name());
      }
    }
  }

  /**
   * Removes moves whose host has a worker that reported in the new pool, and moves older than
   * {@code longestMove}.
   */
  private void removeEndedMoves(Instant now) {
    if (moves.isEmpty()) {
      return;
    }
    Map<String, Set<String>> poolsByHost = new HashMap<>();
    for (WorkerSession session : sessions.values()) {
      Worker worker = session.worker();
      if (moves.containsKey(worker.host())) {
        poolsByHost.computeIfAbsent(worker.host(), host -> new HashSet<>()).add(worker.pool());
      }
    }
    moves
        .entrySet()
        .removeIf(
            entry -> {
              boolean arrived =
                  entry.getValue().stage() == Stage.ORDERED
                      && poolsByHost
                          .getOrDefault(entry.getKey(), Set.of())
                          .contains(entry.getValue().pool());
              return arrived
                  || now.isAfter(entry.getValue().decidedAt().plus(timings.moveTimeout()));
            });
  }

  private void updateIdleHosts(Instant now, FleetView fleet) {
    Set<String> idle = new HashSet<>();
    for (WorkerSession session : sessions.values()) {
      Worker worker = session.worker();
      boolean movable =
          !worker.host().isEmpty()
              && fleet.usable().test(worker)
              && orderRecorder.mayOrder(worker.host(), now);
      if (movable && context.jobRegistry().boundTo(worker.id()).isEmpty()) {
        idle.add(worker.host());
        idleSince.putIfAbsent(worker.host(), now);
      }
    }
    idleSince.keySet().retainAll(idle);
  }

  private List<Member> members(FleetView fleet, String standby, Map<String, Long> used) {
    List<Member> members = new ArrayList<>();
    for (WorkerSession session : sessions.values()) {
      Worker worker = session.worker();
      for (Task task : context.jobRegistry().boundTo(worker.id())) {
        used.merge(worker.pool(), (long) task.step().reservedMillicores(), Long::sum);
      }
      boolean canRunTasks = session.takesTasks(context.now()) && !isMoving(worker.host());
      if (canRunTasks && !worker.pool().equals(standby)) {
        Set<String> labels = new HashSet<>(worker.labels());
        labels.remove(worker.rack());
        members.add(
            new Member(
                worker.host(),
                worker.pool(),
                worker.capacity().cpuMillicores(),
                labels,
                Optional.ofNullable(idleSince.get(worker.host())),
                isBorrowed(worker),
                fleet.inMaintenance().contains(worker.host())));
      }
    }
    return members;
  }

  private List<String> lendableHosts(FleetView fleet) {
    return standbyHosts.keySet().stream()
        .filter(host -> !isMoving(host) && !fleet.inMaintenance().contains(host))
        .filter(host -> orderRecorder.mayOrder(host, context.now()))
        .sorted()
        .toList();
  }

  private Map<String, Long> arrivingMillicores() {
    long millicoresPerHost =
        sessions.values().stream()
            .mapToLong(session -> session.worker().capacity().cpuMillicores())
            .max()
            .orElse(1);
    Map<String, Long> arriving = new HashMap<>();
    moves.values().forEach(move -> arriving.merge(move.pool(), millicoresPerHost, Long::sum));
    return arriving;
  }

  private void beginMove(Transfer transfer, Instant now) {
    moves.put(transfer.host(), new Move(transfer.pool(), now, Stage.DECIDED));
    unsentTransfers.add(transfer);
    orderRecorder.record(transfer.host(), transfer.pool());
  }

  private void sendRecorded() {
    for (Transfer transfer : ImmutableList.copyOf(unsentTransfers)) {
      if (!isMoving(transfer.host())) {
        unsentTransfers.remove(transfer);
      } else if (orderRecorder.consumeRecord(transfer.host())) {
        unsentTransfers.remove(transfer);
        send(transfer);
      }
    }
  }

  private void send(Transfer transfer) {
    String host = transfer.host();
    context.whenDone(
        calls.move(host, transfer.pool(), orderIssuer),
        (outcome, failure) -> {
          logger.atInfo().log(
              "%s",
              EventLine.of(Event.HOST_ACTIVITY_PHASE)
                  .with("host", host)
                  .with("to_pool", transfer.pool())
                  .with("reason", transfer.reason())
                  .with("demand_millicores", transfer.demandMillicores())
                  .with("capacity_millicores", transfer.capacityMillicores())
                  .with("fencing_token", orderIssuer.fencingToken())
                  .with("outcome", outcome == null ? String.valueOf(failure) : outcome));
          if (outcome != null) {
            onOutcome(transfer, outcome);
          }
        });
  }

  private void onOutcome(Transfer transfer, OrderOutcome outcome) {
    if (outcome == OrderOutcome.DONE) {
      moves.computeIfPresent(
          transfer.host(), (host, move) -> new Move(move.pool(), move.decidedAt(), Stage.ORDERED));
      onMoved(transfer.host(), transfer.pool());
      return;
    }
    if (outcome == OrderOutcome.IMPOSSIBLE) {
      impossibleTransfers.add(transfer);
    }
    moves.remove(transfer.host());
    idleSince.remove(transfer.host());
    standbyHosts.remove(transfer.host());
  }

  private void onMoved(String host, String pool) {
    movedAt.put(host, context.now());
    sessions.values().stream()
        .map(WorkerSession::worker)
        .filter(worker -> worker.host().equals(host) && !worker.pool().equals(pool))
        .map(Worker::id)
        .toList()
        .forEach(workerEndedListener);
    boolean movedToStandby =
        configuration.current().filter(current -> current.isStandby(pool)).isPresent();
    standbyHosts.remove(host);
    idleSince.remove(host);
    if (movedToStandby) {
      lentHosts.remove(host);
      standbyHosts.put(host, new Host(host, pool, HostState.UP, Optional.empty()));
    } else {
      lentHosts.add(host);
    }
  }

  /** Progress of a move. */
  private enum Stage {
    /** The platform has not confirmed the order yet. */
    DECIDED,
    /** The platform confirmed the order, or an earlier leader recorded it. */
    ORDERED
  }

  /** A move of a host to a pool. */
  private record Move(String pool, Instant decidedAt, Stage stage) {}
}
