package org.verbenawheel.execution;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.verbenawheel.event.Event;
import org.verbenawheel.event.EventLine;
import org.verbenawheel.worker.Worker;

/**
 * Logs and counts workers that get no tasks for the same reason for a long time, each time once, so
 * that it can be told which reason keeps an idle worker idle. Confined to the state thread.
 */
final class UnschedulableLog {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Longer than a lease, a restart or a change of leader keeps a worker from tasks. */
  private static final Duration LONG_TIME = Duration.ofSeconds(6);

  private final MetricRegistry metrics;
  private final Map<String, Span> spansByWorker = new HashMap<>();

  UnschedulableLog(MetricRegistry metrics) {
    this.metrics = metrics;
  }

  /**
   * Records whether a worker may be given tasks now.
   *
   * @param reason why it may not; empty if it may
   */
  void record(Worker worker, Optional<UnschedulableReason> reason, Instant now) {
    if (reason.isEmpty()) {
      spansByWorker.remove(worker.id());
      return;
    }
    Span span = spansByWorker.get(worker.id());
    if (span == null || span.reason() != reason.get()) {
      spansByWorker.put(worker.id(), new Span(reason.get(), now, false));
      return;
    }
    Duration length = Duration.between(span.since(), now);
    if (span.logged() || length.compareTo(LONG_TIME) < 0) {
      return;
    }
    spansByWorker.put(worker.id(), new Span(span.reason(), span.since(), true));
    metrics.counter("workers.unschedulable." + span.reason()).inc();
    logger.atWarning().log(
        "%s",
        EventLine.of(Event.WORKER_UNSCHEDULABLE)
            .with("worker", worker.id())
            .with("pool", worker.pool())
            .with("reason", span.reason())
            .with("milliseconds", length.toMillis()));
  }

  /** Removes the workers that are not known any more. */
  void retainOnly(Set<String> workers) {
    spansByWorker.keySet().retainAll(workers);
  }

  /** How long one reason has kept a worker from tasks. */
  private record Span(UnschedulableReason reason, Instant since, boolean logged) {}
}
