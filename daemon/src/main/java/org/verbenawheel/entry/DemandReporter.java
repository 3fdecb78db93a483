package org.verbenawheel.entry;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.verbenawheel.capacity.DemandMeter;
import org.verbenawheel.capacity.DemandReport;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.membership.EndpointRecord;
import org.verbenawheel.peer.PeerLinks;
import org.verbenawheel.request.CallerAnswer;
import org.verbenawheel.request.CallerOutcome;
import org.verbenawheel.request.CallerRequest;
import org.verbenawheel.routing.AttemptOutcome;
import org.verbenawheel.routing.EndpointClient;
import org.verbenawheel.supervision.FailureListener;
import org.verbenawheel.supervision.SupervisedPart;

/**
 * Measures the demand at one entry and sends it to every control replica once a second, from a
 * timer thread of its own. If a report is lost, that second counts as one without demand.
 */
final class DemandReporter implements EndpointClient, SupervisedPart {
  private static final long INTERVAL_MILLISECONDS = 1_000;

  private final DemandMeter meter;
  private final EndpointClient endpoints;
  private final ImmutableSet<ProcessId> controls;
  private final PeerLinks links;
  private final InstantSource clock;
  private @Nullable ScheduledExecutorService timer;

  DemandReporter(
      ProcessId self,
      EndpointClient endpoints,
      ImmutableSet<ProcessId> controls,
      PeerLinks links,
      InstantSource clock) {
    this.meter = new DemandMeter(self);
    this.endpoints = endpoints;
    this.controls = controls;
    this.links = links;
    this.clock = clock;
  }

  @Override
  public String name() {
    return "demand-reporter";
  }

  @Override
  public synchronized void start(FailureListener failures) {
    ScheduledExecutorService started =
        Executors.newSingleThreadScheduledExecutor(DemandReporter::newTimerThread);
    var unused =
        started.scheduleAtFixedRate(
            this::sendReports, INTERVAL_MILLISECONDS, INTERVAL_MILLISECONDS, TimeUnit.MILLISECONDS);
    timer = started;
  }

  @Override
  public synchronized void stop(Duration grace) {
    if (timer != null) {
      timer.shutdownNow();
      timer = null;
    }
  }

  @Override
  public CompletableFuture<AttemptOutcome> send(
      EndpointRecord endpoint, CallerRequest request, Duration timeout) {
    Instant sentAt = clock.instant();
    return endpoints
        .send(endpoint, request, timeout)
        .whenComplete((outcome, failure) -> addRunIfAnswered(endpoint, outcome, sentAt));
  }

  /**
   * Counts a request as unanswered demand unless an endpoint answered it.
   *
   * @param request the request that ended
   * @param outcome its outcome
   */
  void countOutcome(CallerRequest request, CallerOutcome outcome) {
    if (!(outcome instanceof CallerAnswer)) {
      meter.addUnanswered(request.service());
    }
  }

  private void addRunIfAnswered(
      EndpointRecord endpoint, @Nullable AttemptOutcome outcome, Instant sentAt) {
    if (outcome instanceof AttemptOutcome.Answered) {
      meter.addRun(endpoint.service(), Duration.between(sentAt, clock.instant()));
    }
  }

  private void sendReports() {
    for (DemandReport report : meter.close(clock.instant())) {
      controls.forEach(control -> links.send(control, report));
    }
  }

  private static Thread newTimerThread(Runnable task) {
    Thread thread = new Thread(task, "demand-reporter");
    thread.setDaemon(true);
    return thread;
  }
}
