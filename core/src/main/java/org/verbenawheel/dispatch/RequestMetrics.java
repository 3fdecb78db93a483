package org.verbenawheel.dispatch;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.time.Duration;
import java.util.Locale;
import org.verbenawheel.request.CallerOutcome;
import org.verbenawheel.request.Refusal;

/** Counts the outcomes of requests and attempts at one entry. Thread-safe. */
final class RequestMetrics {
  private static final String PREFIX = "request";

  private final MetricRegistry registry;
  private final Timer slotWait;

  RequestMetrics(MetricRegistry registry) {
    this.registry = registry;
    this.slotWait = registry.timer(MetricRegistry.name(PREFIX, "slot-wait"));
  }

  /** Counts a request that ended: answered, or refused by reason. */
  void countOutcome(CallerOutcome outcome) {
    if (outcome instanceof Refusal refusal) {
      String reason = refusal.reason().name().toLowerCase(Locale.ROOT);
      registry.counter(MetricRegistry.name(PREFIX, "refused", reason)).inc();
      return;
    }
    registry.counter(MetricRegistry.name(PREFIX, "answered")).inc();
  }

  /** Counts an attempt that got a slot and the time that it waited for it. */
  void countAttempt(boolean isRetry, Duration waited) {
    slotWait.update(waited);
    registry.counter(MetricRegistry.name(PREFIX, isRetry ? "retries" : "first-attempts")).inc();
  }

  /** Counts an attempt that ended without a complete answer. */
  void countFailedAttempt() {
    registry.counter(MetricRegistry.name(PREFIX, "failed-attempts")).inc();
  }

  /** Counts a caller that closed its connection before the outcome. */
  void countHungUp() {
    registry.counter(MetricRegistry.name(PREFIX, "hung-up")).inc();
  }
}
