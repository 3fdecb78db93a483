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
 * The naive way, for comparison: each entry counts only its own slots, first come first served in
 * an unbounded queue, no classes of work, no ejection, and every failure is tried three times.
 */
final class NaiveEntry {
  private static final int ATTEMPTS = 3;

  private final VirtualTime time;
  private final EndpointClient client;
  private final Supplier<Collection<EndpointRecord>> endpoints;
  private final Multiset<EndpointId> held = HashMultiset.create();
  private final Deque<Waiting> queue = new ArrayDeque<>();

  NaiveEntry(
      VirtualTime time, EndpointClient client, Supplier<Collection<EndpointRecord>> endpoints) {
    this.time = time;
    this.client = client;
    this.endpoints = endpoints;
  }

  CompletableFuture<CallerOutcome> serve(CallerRequest request) {
    Waiting waiting = new Waiting(request, new CompletableFuture<>(), 1);
    time.after(request.timeLeft(time.instant()), () -> giveUp(waiting));
    queue.add(waiting);
    sendWaiting();
    return waiting.outcome;
  }

  private void giveUp(Waiting waiting) {
    waiting.outcome.complete(
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

  private void send(Waiting waiting, EndpointRecord endpoint) {
    held.add(endpoint.id());
    var unused =
        client
            .send(endpoint, waiting.request, Duration.ofSeconds(5))
            .thenAccept(ended -> onEnded(waiting, endpoint, ended));
  }

  private void onEnded(Waiting waiting, EndpointRecord endpoint, AttemptOutcome ended) {
    held.remove(endpoint.id());
    if (ended instanceof AttemptOutcome.Answered answered) {
      waiting.outcome.complete(answered.answer());
    } else if (waiting.attempt < ATTEMPTS) {
      queue.addFirst(new Waiting(waiting.request, waiting.outcome, waiting.attempt + 1));
    } else {
      waiting.outcome.complete(
          Refusal.mayHaveRun(RefusalReason.ENDPOINT_FAILED, "three attempts failed"));
    }
    sendWaiting();
  }

  /** One request that waits. */
  private record Waiting(
      CallerRequest request, CompletableFuture<CallerOutcome> outcome, int attempt) {}
}
