package org.verbenawheel.dispatch;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.Multiset;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.verbenawheel.identity.EndpointId;
import org.verbenawheel.identity.RequestId;
import org.verbenawheel.membership.EndpointRecord;
import org.verbenawheel.request.Body;
import org.verbenawheel.request.CallerAnswer;
import org.verbenawheel.request.CallerRequest;
import org.verbenawheel.request.Headers;
import org.verbenawheel.request.RunVerdict;
import org.verbenawheel.routing.AttemptFailure;
import org.verbenawheel.routing.AttemptOutcome;
import org.verbenawheel.routing.EndpointClient;

/**
 * Endpoints in virtual time that count the requests they hold and run. The query parameter {@code
 * run} of a request's path is its run time in milliseconds.
 */
final class FakeEndpoints implements EndpointClient {
  private static final Duration LATENCY = Duration.ofMillis(1);

  private final VirtualTime time;
  private final Map<EndpointId, Fault> faults = new HashMap<>();
  private final Multiset<EndpointId> running = HashMultiset.create();
  private final Multiset<EndpointId> held = HashMultiset.create();
  private final Map<EndpointId, Deque<Runnable>> waiting = new HashMap<>();
  private final Multiset<RequestId> runs = HashMultiset.create();
  private int attempts;
  private int peakHeld;
  private double busySeconds;

  FakeEndpoints(VirtualTime time) {
    this.time = time;
  }

  void setFault(EndpointId endpoint, Fault fault) {
    faults.put(endpoint, fault);
  }

  void clearFault(EndpointId endpoint) {
    faults.remove(endpoint);
  }

  int attempts() {
    return attempts;
  }

  /** Returns how many times a request was run. */
  int runs(RequestId request) {
    return runs.count(request);
  }

  int running() {
    return running.size();
  }

  /** Returns the total run time of all requests run, in seconds. */
  double busySeconds() {
    return busySeconds;
  }

  /** Returns the highest number of requests that one endpoint held at once, running or waiting. */
  int peakHeld() {
    return peakHeld;
  }

  @Override
  public CompletableFuture<AttemptOutcome> send(
      EndpointRecord endpoint, CallerRequest request, Duration timeout) {
    attempts++;
    CompletableFuture<AttemptOutcome> outcome = new CompletableFuture<>();
    time.schedule(LATENCY, () -> receive(endpoint, request, outcome));
    time.schedule(
        timeout, () -> outcome.complete(failed(AttemptFailure.TIMED_OUT, RunVerdict.MAY_HAVE_RUN)));
    return outcome;
  }

  private void receive(
      EndpointRecord endpoint, CallerRequest request, CompletableFuture<AttemptOutcome> outcome) {
    Fault fault = faults.get(endpoint.id());
    if (fault == Fault.NOT_CONNECTED) {
      outcome.complete(failed(AttemptFailure.NOT_CONNECTED, RunVerdict.NOT_RUN));
      return;
    }
    if (fault == Fault.CONNECTION_LOST) {
      outcome.complete(failed(AttemptFailure.CONNECTION_LOST, RunVerdict.MAY_HAVE_RUN));
      return;
    }
    if (fault == Fault.ERROR_STATUS) {
      outcome.complete(answer(endpoint, 500));
      return;
    }
    held.add(endpoint.id());
    peakHeld = Math.max(peakHeld, held.count(endpoint.id()));
    waitingAt(endpoint.id()).add(() -> run(endpoint, request, outcome));
    runWaiting(endpoint);
  }

  /** Runs waiting requests while the endpoint has a free slot, in the order of their arrival. */
  private void runWaiting(EndpointRecord endpoint) {
    Deque<Runnable> waiting = waitingAt(endpoint.id());
    while (!waiting.isEmpty() && running.count(endpoint.id()) < endpoint.slots()) {
      running.add(endpoint.id());
      waiting.remove().run();
    }
  }

  private void run(
      EndpointRecord endpoint, CallerRequest request, CompletableFuture<AttemptOutcome> outcome) {
    runs.add(request.id());
    busySeconds += runTimeOf(request).toMillis() / 1e3;
    time.schedule(
        runTimeOf(request),
        () -> {
          running.remove(endpoint.id());
          held.remove(endpoint.id());
          time.schedule(LATENCY, () -> outcome.complete(answer(endpoint, 200)));
          runWaiting(endpoint);
        });
  }

  private Deque<Runnable> waitingAt(EndpointId endpoint) {
    return waiting.computeIfAbsent(endpoint, missing -> new ArrayDeque<>());
  }

  private static AttemptOutcome answer(EndpointRecord endpoint, int status) {
    return new AttemptOutcome.Answered(
        new CallerAnswer(status, Headers.NONE, Body.EMPTY, endpoint.id()));
  }

  private static AttemptOutcome failed(AttemptFailure kind, RunVerdict verdict) {
    return new AttemptOutcome.Failed(kind, verdict, "fault injected by the test");
  }

  static Duration runTimeOf(CallerRequest request) {
    String path = request.path();
    return Duration.ofMillis(Long.parseLong(path.substring(path.indexOf("run=") + 4)));
  }

  /** How an endpoint fails every request that it receives. */
  enum Fault {
    NOT_CONNECTED,
    CONNECTION_LOST,
    ERROR_STATUS
  }
}
