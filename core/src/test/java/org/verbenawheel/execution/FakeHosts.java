package org.verbenawheel.execution;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/** A platform that carries out orders at once. */
final class FakeHosts implements HostCalls {
  private final Map<String, FakeWorker> workers;
  private final List<String> runningAtMaintenance = new ArrayList<>();
  private final Map<String, Host> hosts = new LinkedHashMap<>();
  private final List<String> maintained = new ArrayList<>();
  private final Set<String> omittedOnce = new HashSet<>();
  private final List<Runnable> heldLists = new ArrayList<>();
  private boolean holdsLists;
  private OrderOutcome moveOutcome = OrderOutcome.DONE;
  private OrderOutcome maintenanceOutcome = OrderOutcome.DONE;
  private int moveOrders;

  /**
   * Creates a platform without hosts.
   *
   * @param workers the workers by id; later additions count
   */
  FakeHosts(Map<String, FakeWorker> workers) {
    this.workers = workers;
  }

  void add(Host host) {
    hosts.put(host.name(), host);
  }

  ImmutableList<String> maintained() {
    return ImmutableList.copyOf(maintained);
  }

  ImmutableMap<String, String> pools() {
    ImmutableMap.Builder<String, String> pools = ImmutableMap.builder();
    hosts.forEach((name, host) -> pools.put(name, host.pool()));
    return pools.buildOrThrow();
  }

  void remove(String host) {
    hosts.remove(host);
  }

  /** Leaves a host out of the next list. */
  void omitOnce(String host) {
    omittedOnce.add(host);
  }

  /** Sets whether lists are held back; released ones show the hosts as of their request. */
  void holdLists(boolean value) {
    holdsLists = value;
    if (!value) {
      List<Runnable> released = ImmutableList.copyOf(heldLists);
      heldLists.clear();
      released.forEach(Runnable::run);
    }
  }

  @Override
  public CompletableFuture<ImmutableList<Host>> list() {
    ImmutableList<Host> listed =
        hosts.values().stream()
            .filter(host -> !omittedOnce.contains(host.name()))
            .collect(ImmutableList.toImmutableList());
    omittedOnce.clear();
    CompletableFuture<ImmutableList<Host>> answer = new CompletableFuture<>();
    if (holdsLists) {
      heldLists.add(() -> answer.complete(listed));
    } else {
      answer.complete(listed);
    }
    return answer;
  }

  @Override
  public CompletableFuture<OrderOutcome> maintain(String host, long wave, OrderIssuer orderIssuer) {
    if (!hosts.containsKey(host)) {
      return CompletableFuture.completedFuture(OrderOutcome.IMPOSSIBLE);
    }
    if (maintenanceOutcome == OrderOutcome.DONE) {
      maintained.add(host);
      Optional.ofNullable(hosts.get(host))
          .flatMap(Host::worker)
          .map(workers::get)
          .ifPresent(worker -> runningAtMaintenance.addAll(worker.running()));
      terminateWorkerOf(host);
    }
    return CompletableFuture.completedFuture(maintenanceOutcome);
  }

  /** Returns the runs that were in progress on hosts when they went down. */
  ImmutableList<String> runningAtMaintenance() {
    return ImmutableList.copyOf(runningAtMaintenance);
  }

  /** Sets the outcome of all later maintenance orders. */
  void answerMaintenance(OrderOutcome outcome) {
    maintenanceOutcome = outcome;
  }

  /** Sets the outcome of all later orders to move a host. */
  void refuseMoves(OrderOutcome outcome) {
    moveOutcome = outcome;
  }

  int moveOrders() {
    return moveOrders;
  }

  @Override
  public CompletableFuture<OrderOutcome> move(String host, String pool, OrderIssuer orderIssuer) {
    moveOrders++;
    if (moveOutcome == OrderOutcome.DONE) {
      hosts.put(host, new Host(host, pool, HostState.UP, Optional.empty()));
      terminateWorkerOf(host);
    }
    return CompletableFuture.completedFuture(moveOutcome);
  }

  private void terminateWorkerOf(String host) {
    workers.values().stream()
        .filter(worker -> FleetHarness.hostOf(worker.id()).equals(host))
        .forEach(FakeWorker::terminate);
  }
}
