package org.verbenawheel.execution;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import org.verbenawheel.event.Event;
import org.verbenawheel.event.EventLine;
import org.verbenawheel.worker.Worker;
import org.verbenawheel.worker.WorkerCommands.ForgetWorker;
import org.verbenawheel.worker.WorkerCommands.RecordWorker;
import org.verbenawheel.worker.WorkerRegistry;

/**
 * Knows the workers during one leadership: takes their reports, and forgets those that ended.
 * Belongs to the state thread.
 */
public final class WorkerRoster {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final FleetContext context;
  private final WorkerRegistry registry;
  private final CommandSink sink;
  private final Map<String, WorkerSession> sessions;
  private final Runnable onChange;
  private final Map<String, Long> lastReportSequence = new HashMap<>();

  WorkerRoster(
      FleetContext context,
      WorkerRegistry registry,
      CommandSink sink,
      Map<String, WorkerSession> sessions,
      Runnable onChange) {
    this.context = context;
    this.registry = registry;
    this.sink = sink;
    this.sessions = sessions;
    this.onChange = onChange;
    registry.all().forEach(worker -> sessions.put(worker.id(), new WorkerSession(context, worker)));
  }

  /**
   * Takes a worker's report of itself.
   *
   * @param reported the worker as it announced itself
   * @param sequence numbers the reports of one life of a worker
   * @param clockMilliseconds the worker's clock
   * @return done once a leader's successor would know of it too
   */
  public CompletableFuture<?> onReport(
      Worker reported, long sequence, Optional<Long> clockMilliseconds) {
    Optional<Worker> known = registry.find(reported.id());
    if (isOutdated(reported, sequence, known) || isSuperseded(reported)) {
      return CompletableFuture.completedFuture(null);
    }
    lastReportSequence.put(reported.id(), sequence);
    endPredecessors(reported);
    if (known.filter(reported::equals).isPresent()) {
      takeReport(reported, clockMilliseconds);
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
            takeReport(reported, clockMilliseconds);
            recorded.complete(reply);
          } else {
            recorded.completeExceptionally(orUnknown(failure));
          }
        });
    return recorded;
  }

  private static Throwable orUnknown(@Nullable Throwable failure) {
    return failure == null ? new IllegalStateException("no reply and no failure") : failure;
  }

  private boolean isOutdated(Worker reported, long sequence, Optional<Worker> known) {
    if (known.isEmpty() || reported.bornAtMilliseconds() > known.get().bornAtMilliseconds()) {
      return false;
    }
    boolean earlierLife = reported.bornAtMilliseconds() < known.get().bornAtMilliseconds();
    return earlierLife || sequence <= lastReportSequence.getOrDefault(reported.id(), -1L);
  }

  /** Returns whether a worker that was born later has the address: the report came late. */
  private boolean isSuperseded(Worker reported) {
    return rivalsOf(reported)
        .anyMatch(other -> other.bornAtMilliseconds() >= reported.bornAtMilliseconds());
  }

  /** Returns the workers that cannot live beside this one: a host and an address have one each. */
  private Stream<Worker> rivalsOf(Worker reported) {
    return registry.all().stream()
        .filter(other -> !other.id().equals(reported.id()))
        .filter(
            other ->
                other.address().equals(reported.address())
                    || (!other.host().isEmpty() && other.host().equals(reported.host())));
  }

  private void endPredecessors(Worker reported) {
    rivalsOf(reported).forEach(other -> dismiss(other, "its host or address has a new worker"));
  }

  private void takeReport(Worker reported, Optional<Long> clockMilliseconds) {
    WorkerSession session =
        sessions.computeIfAbsent(reported.id(), unused -> new WorkerSession(context, reported));
    session.onReport(reported, clockMilliseconds);
    onChange.run();
  }

  /**
   * Takes the word of a worker that it ends now.
   *
   * @param id the worker
   * @param bornAtMilliseconds which life of it ends; empty for the one that is known
   * @return done once it is forgotten
   */
  public CompletableFuture<?> onLeave(String id, Optional<Long> bornAtMilliseconds) {
    Optional<Worker> leaving =
        registry
            .find(id)
            .filter(
                known ->
                    bornAtMilliseconds
                        .filter(born -> born != known.bornAtMilliseconds())
                        .isEmpty());
    return leaving
        .<CompletableFuture<?>>map(worker -> forget(worker, "it said that it ends"))
        .orElseGet(() -> CompletableFuture.completedFuture(null));
  }

  /** Forgets a worker that is gone, if it is known. */
  void dismiss(String id, String reason) {
    registry.find(id).ifPresent(worker -> dismiss(worker, reason));
  }

  /** Forgets a worker that is gone. */
  void dismiss(Worker worker, String reason) {
    context.whenDone(
        forget(worker, reason),
        (reply, failure) -> {
          if (failure != null) {
            logger.atWarning().withCause(failure).log(
                "%s", EventLine.of(Event.WORKER_FORGOTTEN).with("worker", worker.id()));
          }
        });
  }

  private CompletableFuture<?> forget(Worker worker, String reason) {
    WorkerSession session = sessions.remove(worker.id());
    if (session != null) {
      session.releaseAll(context.ledger().boundTo(worker.id()).asList(), reason);
    }
    lastReportSequence.remove(worker.id());
    context.trust().forget(worker.id());
    context.calls().forget(worker.id());
    logger.atInfo().log(
        "%s",
        EventLine.of(Event.WORKER_FORGOTTEN).with("worker", worker.id()).with("reason", reason));
    return sink.commit(new ForgetWorker(worker.id(), worker.bornAtMilliseconds()));
  }
}
