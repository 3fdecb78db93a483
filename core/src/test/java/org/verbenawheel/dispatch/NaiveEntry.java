package org.verbenawheel.dispatch;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.Multiset;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.verbenawheel.identity.EndpointId;
import org.verbenawheel.membership.EndpointRecord;
import org.verbenawheel.request.CallerOutcome;
import org.verbenawheel.request.CallerRequest;
import org.verbenawheel.request.Refusal;
import org.verbenawheel.request.RefusalReason;
import org.verbenawheel.routing.AttemptOutcome;
import org.verbenawheel.routing.EndpointClient;

/**
 * A naive baseline for comparison with the dispatcher: each entry counts only the slots that it
 * uses itself and queues requests first come, first served without a bound. It has no classes of
 * work and no ejection, and tries every failing request three times.
 */
final class NaiveEntry {
  private static final int MAXIMUM_ATTEMPTS = 3;

  private final VirtualTime time;
  private final EndpointClient client;
  private final Supplier<Collection<EndpointRecord>> endpoints;
  private final Multiset<EndpointId> held = HashMultiset.create();
  private final Deque<QueuedAttempt> queue = new ArrayDeque<>();

  NaiveEntry(
      VirtualTime time, EndpointClient client, Supplier<Collection<EndpointRecord>> endpoints) {
    this.time = time;
    this.client = client;
    this.endpoints = endpoints;
  }

  CompletableFuture<CallerOutcome> serve(CallerRequest request) {
    QueuedAttempt queued = new QueuedAttempt(request, new CompletableFuture<>(), 1);
    time.schedule(request.timeLeft(time.instant()), () -> refuseAtDeadline(queued));
    queue.add(queued);
    sendWaiting();
    return queued.outcome;
  }

  private void refuseAtDeadline(QueuedAttempt queued) {
    queued.outcome.complete(
        Refusal.mayHaveRun(RefusalReason.DEADLINE_PASSED, "the deadline passed"));
  }

  private void sendWaiting() {
    while (!queue.isEmpty()) {
      Optional<EndpointRecord> free =
          endpoints.get().stream()
              .filter(endpoint -> held.count(endpoint.id()) < endpoint.slots())
              .min(
                  Comparator.<EndpointRecord>comparingInt(endpoint -> held.count(endpoint.id()))
                      .thenComparing(EndpointRecord::id));
      if (free.isEmpty()) {
        return;
      }
      send(queue.remove(), free.get());
    }
  }

  private void send(QueuedAttempt queued, EndpointRecord endpoint) {
    held.add(endpoint.id());
    var unused =
        client
            .send(endpoint, queued.request, Duration.ofSeconds(5))
            .thenAccept(attemptOutcome -> onEnded(queued, endpoint, attemptOutcome));
  }

  private void onEnded(
      QueuedAttempt queued, EndpointRecord endpoint, AttemptOutcome attemptOutcome) {
    held.remove(endpoint.id());
    if (attemptOutcome instanceof AttemptOutcome.Answered answered) {
      queued.outcome.complete(answered.answer());
    } else if (queued.attempt < MAXIMUM_ATTEMPTS) {
      queue.addFirst(new QueuedAttempt(queued.request, queued.outcome, queued.attempt + 1));
    } else {
      queued.outcome.complete(
          Refusal.mayHaveRun(RefusalReason.ENDPOINT_FAILED, "three attempts failed"));
    }
    sendWaiting();
  }

  /** An attempt in the queue. */
  private record QueuedAttempt(
      CallerRequest request, CompletableFuture<CallerOutcome> outcome, int attempt) {}
}
