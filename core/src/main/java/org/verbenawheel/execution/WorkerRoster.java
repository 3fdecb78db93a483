package org.verbenawheel.execution;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.verbenawheel.event.Event;
import org.verbenawheel.event.EventLine;
import org.verbenawheel.replication.ControlCommand;
import org.verbenawheel.worker.Worker;
import org.verbenawheel.worker.WorkerCommands.EndWorker;
import org.verbenawheel.worker.WorkerCommands.ForgetWorker;
import org.verbenawheel.worker.WorkerCommands.RecordWorker;
import org.verbenawheel.worker.WorkerRegistry;

/**
 * Tracks the workers during one leadership: records the reports that they send, and forgets workers
 * that ended or were replaced. Confined to the state thread.
 *
 * <p>Two workers that report the same address or host are both kept until one of them answers a
 * poll, since either report may be delayed or come from another installation.
 */
public final class WorkerRoster implements WorkerSession.Listener {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** The wall clocks of sound processes differ by seconds, even while some of them jump. */
  private static final Duration FUTURE_TOLERANCE = Duration.ofHours(1);

  private final FleetContext context;
  private final WorkerRegistry registry;
  private final CommandSink sink;
  private final Map<String, WorkerSession> sessions;
  private final Runnable onWorkersChanged;
  private final LongSupplier timeOfDayMilliseconds;
  private final KnownPools knownPools;
  private final Map<String, Long> lastReportSequence = new HashMap<>();

  /** The highest fencing tokens of sessions that ended in this leadership. */
  private final Map<String, Long> lastFencingTokens = new HashMap<>();

  /** Incarnations that ended in this leadership, whose ends may not be committed yet. */
  private final Map<String, Long> endedIncarnations = new HashMap<>();

  WorkerRoster(
      FleetContext context,
      WorkerRegistry registry,
      CommandSink sink,
      Map<String, WorkerSession> sessions,
      Runnable onWorkersChanged,
      LongSupplier timeOfDayMilliseconds,
      KnownPools knownPools) {
    this.context = context;
    this.registry = registry;
    this.sink = sink;
    this.sessions = sessions;
    this.onWorkersChanged = onWorkersChanged;
    this.timeOfDayMilliseconds = timeOfDayMilliseconds;
    this.knownPools = knownPools;
    registry.all().forEach(worker -> sessions.put(worker.id(), newSession(worker)));
    forgetForeignWorkers();
  }

  /** Forgets idle workers of unknown pools, which earlier versions recorded. */
  private void forgetForeignWorkers() {
    if (!knownPools.isConfigured()) {
      return;
    }
    for (Worker worker : registry.all()) {
      if (!knownPools.contains(worker.pool())
          && context.jobRegistry().boundTo(worker.id()).isEmpty()) {
        forgetInBackground(
            worker, ReleaseProof.WORKER_FORGOTTEN, "no configuration names its pool");
      }
    }
  }

  /**
   * Records a worker's report. Ignores a report that arrives after a newer one, after the worker's
   * end, or, from a worker that is not registered, after a newer worker has reported the same host
   * or address. Ignores one from the far future too, since it would replace the present worker for
   * good, and one from a pool that is not known: it may come from another installation, whose
   * addresses and hosts can have the same names.
   *
   * @param reported the worker as it described itself
   * @param sequence number of the report, rising within one incarnation of the worker
   * @param clockMilliseconds reading of the worker's clock, if it sent one
   * @return completes once a later leader would know of the report too; fails while there is no
   *     configuration, which would tell whether the pool is known
   */
  public CompletableFuture<?> onReport(
      Worker reported, long sequence, Optional<Long> clockMilliseconds) {
    if (!knownPools.isConfigured()) {
      return CompletableFuture.failedFuture(
          new IllegalStateException("no configuration yet; the worker must report again"));
    }
    if (!knownPools.contains(reported.pool())) {
      logIgnored(
          reported.id(),
          reported.bornAtMilliseconds(),
          "no configuration names its pool " + reported.pool() + ", address " + reported.address());
      return CompletableFuture.completedFuture(null);
    }
    Optional<Worker> registered = registry.find(reported.id());
    if (isFromTheFuture(reported.id(), reported.bornAtMilliseconds())
        || hasEnded(reported)
        || isOutdated(reported, sequence, registered)
        || (registered.isEmpty() && isSuperseded(reported))) {
      return CompletableFuture.completedFuture(null);
    }
    lastReportSequence.put(reported.id(), sequence);
    if (registered.filter(reported::equals).isPresent()) {
      updateSession(reported, clockMilliseconds);
      return CompletableFuture.completedFuture(null);
    }
    CompletableFuture<Object> recorded = new CompletableFuture<>();
    context.whenDone(
        sink.commit(new RecordWorker(reported)),
        (reply, failure) -> {
          if (reply != null) {
            logger.atInfo().log(
                "%s",
                EventLine.of(Event.WORKER_RECORDED)
                    .with("worker", reported.id())
                    .with("born", reported.bornAtMilliseconds())
                    .with("pool", reported.pool())
                    .with("address", reported.address())
                    .with("draining", reported.draining()));
            updateSession(reported, clockMilliseconds);
            onWorkersChanged.run();
            recorded.complete(reply);
          } else {
            recorded.completeExceptionally(orMissingReply(failure));
          }
        });
    return recorded;
  }

  private static Throwable orMissingReply(@Nullable Throwable failure) {
    return failure == null
        ? new IllegalStateException("the commit ended with neither a reply nor a failure")
        : failure;
  }

  private boolean isFromTheFuture(String id, long bornAtMilliseconds) {
    long latest = timeOfDayMilliseconds.getAsLong() + FUTURE_TOLERANCE.toMillis();
    if (bornAtMilliseconds <= latest) {
      return false;
    }
    logIgnored(
        id, bornAtMilliseconds, "its start lies more than an hour ahead of this process's clock");
    return true;
  }

  private static void logIgnored(String id, long bornAtMilliseconds, String problem) {
    logger.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
        "%s",
        EventLine.of(Event.MESSAGE_REJECTED)
            .with("what", "report of " + id)
            .with("problem", problem)
            .with("born", bornAtMilliseconds));
  }

  private boolean hasEnded(Worker reported) {
    Long endedIncarnation = endedIncarnations.get(reported.id());
    return registry.hasEnded(reported)
        || (endedIncarnation != null && reported.bornAtMilliseconds() <= endedIncarnation);
  }

  private boolean isOutdated(Worker reported, long sequence, Optional<Worker> registered) {
    if (registered.isEmpty()
        || reported.bornAtMilliseconds() > registered.get().bornAtMilliseconds()) {
      return false;
    }
    boolean earlierIncarnation =
        reported.bornAtMilliseconds() < registered.get().bornAtMilliseconds();
    return earlierIncarnation || sequence <= lastReportSequence.getOrDefault(reported.id(), -1L);
  }

  /**
   * Returns whether another worker with the same host or address was born no earlier, so that this
   * report is outdated. Polls that worker, since it may not be there: then the next report counts.
   */
  private boolean isSuperseded(Worker reported) {
    ImmutableList<Worker> successors =
        registry.conflictingWith(reported).stream()
            .filter(other -> other.bornAtMilliseconds() >= reported.bornAtMilliseconds())
            .collect(ImmutableList.toImmutableList());
    for (Worker successor : successors) {
      Optional.ofNullable(sessions.get(successor.id())).ifPresent(WorkerSession::requestPoll);
    }
    return !successors.isEmpty();
  }

  /**
   * Resolves conflicts with a worker that answered a poll: no other worker can be at its address,
   * and an earlier one on its host has ended unless it answers too.
   */
  @Override
  public void onAnswered(Worker worker) {
    for (Worker other : registry.conflictingWith(worker)) {
      WorkerSession session = sessions.get(other.id());
      if (session == null) {
        continue;
      }
      if (other.address().equals(worker.address())) {
        forgetInBackground(
            other, ReleaseProof.ADDRESS_TAKEN, "another worker answers at its address");
      } else if (other.bornAtMilliseconds() < worker.bornAtMilliseconds()) {
        session.endUnlessAnswering("its host has a new worker");
      }
    }
  }

  @Override
  public void onEnded(Worker worker, ReleaseProof proof, String reason) {
    // A poll of an earlier session may fail after the worker has registered again.
    Optional.ofNullable(sessions.get(worker.id()))
        .map(WorkerSession::worker)
        .filter(present -> present.isSameIncarnation(worker))
        .filter(present -> present.address().equals(worker.address()))
        .ifPresent(present -> forgetInBackground(present, proof, reason));
  }

  private void updateSession(Worker reported, Optional<Long> clockMilliseconds) {
    WorkerSession session = sessions.computeIfAbsent(reported.id(), unused -> newSession(reported));
    session.onReport(reported, clockMilliseconds);
  }

  private WorkerSession newSession(Worker worker) {
    Long lastToken = lastFencingTokens.get(worker.id());
    long firstToken = lastToken == null ? context.firstFencingToken() : lastToken + 1;
    return new WorkerSession(context, worker, this, firstToken);
  }

  /**
   * Removes a worker that announced its end, once its runs have ended: it waits for the answer, and
   * goes on for seconds if the answer is lost. The end of an incarnation that is not known is
   * recorded too, since its reports may arrive later.
   *
   * @param id the worker
   * @param bornAtMilliseconds the incarnation that ends; empty for the registered one
   * @return completes once the end is committed
   */
  public CompletableFuture<?> onLeave(String id, Optional<Long> bornAtMilliseconds) {
    Optional<Worker> registered = registry.find(id);
    long registeredBorn = registered.map(Worker::bornAtMilliseconds).orElse(0L);
    long born = bornAtMilliseconds.orElse(registeredBorn);
    boolean unknown = registered.isEmpty() && born == 0;
    if (unknown || born < registeredBorn || isFromTheFuture(id, born)) {
      return CompletableFuture.completedFuture(null);
    }
    if (born > 0) {
      endedIncarnations.merge(id, born, Math::max);
    }
    WorkerSession session = sessions.get(id);
    // The session may know of a later incarnation than the registry, which learns it by a report.
    if (session == null
        || born > session.worker().bornAtMilliseconds()
        || !session.hasBoundRuns()) {
      return recordEnd(id, born);
    }
    return session.leave().thenCompose(unused -> recordEnd(id, born));
  }

  private CompletableFuture<?> recordEnd(String id, long born) {
    EndWorker end = new EndWorker(id, born);
    return registry
        .find(id)
        .filter(worker -> worker.bornAtMilliseconds() <= born)
        .<CompletableFuture<?>>map(
            worker -> remove(worker, end, ReleaseProof.WORKER_LEFT, "it announced its end"))
        .orElseGet(() -> sink.commit(end));
  }

  /** Forgets a worker whose host went down by an order, unless it answers a poll. */
  void forgetUnlessAnswering(String id, String reason) {
    Optional.ofNullable(sessions.get(id)).ifPresent(session -> session.endUnlessAnswering(reason));
  }

  /** Forgets a worker until it reports again; a failure is only logged. */
  void forgetInBackground(Worker worker, ReleaseProof proof, String reason) {
    ForgetWorker command = new ForgetWorker(worker.id(), worker.bornAtMilliseconds());
    context.whenDone(
        remove(worker, command, proof, reason),
        (reply, failure) -> {
          if (failure != null) {
            logger.atWarning().withCause(failure).log(
                "%s", EventLine.of(Event.WORKER_FORGOTTEN).with("worker", worker.id()));
          }
        });
  }

  private CompletableFuture<?> remove(
      Worker worker, ControlCommand command, ReleaseProof proof, String reason) {
    WorkerSession session = sessions.remove(worker.id());
    if (session != null) {
      lastFencingTokens.put(worker.id(), session.fencingToken());
      session.releaseAll(context.jobRegistry().boundTo(worker.id()).asList(), proof);
    }
    lastReportSequence.remove(worker.id());
    context.failureTracker().forget(worker.id());
    context.calls().disconnect(worker.id());
    logger.atInfo().log(
        "%s",
        EventLine.of(Event.WORKER_FORGOTTEN).with("worker", worker.id()).with("reason", reason));
    CompletableFuture<?> removed = sink.commit(command);
    context.whenDone(
        removed,
        (reply, failure) -> {
          if (failure != null) {
            restoreSession(worker);
          }
        });
    return removed;
  }

  /**
   * Begins a session again with a worker whose removal was not committed. Without one, nothing
   * would find again that the worker has to be removed, and it would keep others from its address.
   */
  private void restoreSession(Worker worker) {
    boolean known =
        registry
            .find(worker.id())
            .filter(registered -> registered.isSameIncarnation(worker))
            .isPresent();
    if (known && !sessions.containsKey(worker.id())) {
      WorkerSession session = newSession(worker);
      session.onRemovalFailed();
      sessions.put(worker.id(), session);
    }
  }
}
