package org.verbenawheel.execution;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.verbenawheel.event.Event;
import org.verbenawheel.event.EventLine;
import org.verbenawheel.execution.WorkerCalls.StartAnswer;
import org.verbenawheel.execution.WorkerCalls.StartOrder;
import org.verbenawheel.execution.WorkerCalls.StartOutcome;
import org.verbenawheel.execution.WorkerCalls.StopOrder;
import org.verbenawheel.job.JobCommands.RunEnd;
import org.verbenawheel.job.RunEnding;
import org.verbenawheel.job.Task;
import org.verbenawheel.job.TaskId;
import org.verbenawheel.request.RunVerdict;
import org.verbenawheel.worker.Worker;

/**
 * Orders one worker to start and stop runs, and knows which orders may still arrive. Belongs to the
 * state thread.
 */
final class RunOrders {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final FleetContext context;
  private final WorkerSession session;
  private final Map<TaskId, RunAttempt> attempts = new HashMap<>();
  private final Map<TaskId, Instant> stopsSentAt = new HashMap<>();
  private final Set<TaskId> stopsWanted = new HashSet<>();

  RunOrders(FleetContext context, WorkerSession session) {
    this.context = context;
    this.session = session;
  }

  /** Notes that a run is about to be bound to this worker. */
  void onBinding(TaskId task, int run) {
    attempts.put(task, new RunAttempt(run));
  }

  /** Forgets a run that could not be bound. */
  void onNotBound(TaskId task) {
    attempts.remove(task);
  }

  /** Orders the start of a run that is bound to this worker. */
  void start(Task task, Optional<String> ticket) {
    Instant now = context.now();
    RunAttempt attempt = attempts.get(task.id());
    Optional<Long> leaseEnd = session.grantLease(now);
    int run = task.run();
    if (attempt == null || leaseEnd.isEmpty()) {
      onStartRefused(task.id(), run, "the worker's clock is unknown");
      return;
    }
    long token = session.fencingToken();
    attempt.onSent(token);
    StartOrder order =
        new StartOrder(
            task.id(),
            run,
            task.job().specification().payload(),
            leaseEnd.get(),
            token,
            task.checkpoint(),
            ticket);
    context.whenDone(
        context.calls().start(session.worker(), order),
        (answer, failure) -> {
          if (answer != null) {
            onStartAnswer(task.id(), attempt, answer);
          } else {
            onStartFailed(task.id(), attempt, failure);
          }
        });
  }

  private void onStartAnswer(TaskId task, RunAttempt attempt, StartAnswer answer) {
    Instant now = context.now();
    session.onAnswer(answer.clockMilliseconds());
    if (answer.outcome() == StartOutcome.STARTED) {
      attempt.onConfirmed(now);
      return;
    }
    if (answer.outcome() == StartOutcome.NO_TICKET) {
      context.tickets().forget(task.stepText(), session.worker().id());
    } else {
      session.backOff();
    }
    onStartRefused(task, attempt.run(), answer.outcome().name());
  }

  private void onStartFailed(TaskId task, RunAttempt attempt, @Nullable Throwable failure) {
    boolean neverRuns =
        failure instanceof WorkerCallException refused && refused.verdict() == RunVerdict.NOT_RUN;
    session.backOff();
    if (neverRuns) {
      onStartRefused(task, attempt.run(), String.valueOf(failure));
      return;
    }
    logRefusal(task, attempt.run(), "no clear answer, fence raised: " + failure);
    session.raiseFence();
  }

  private void onStartRefused(TaskId task, int run, String reason) {
    logRefusal(task, run, reason);
    RunEnd end = new RunEnd(task.text(), run, RunEnding.NOT_STARTED, "");
    context.ends().record(ImmutableList.of(end), () -> forget(end));
  }

  private void logRefusal(TaskId task, int run, String reason) {
    logger.atWarning().atMostEvery(10, TimeUnit.MILLISECONDS).log(
        "%s",
        EventLine.of(Event.WORKER_ORDER_FAILED)
            .with("worker", session.worker().id())
            .with("task", task)
            .with("run", run)
            .with("fencing_token", session.fencingToken())
            .with("reason", reason));
  }

  /** Stops a run that is bound to this worker, until its end is noted. */
  void stop(TaskId task) {
    stopsWanted.add(task);
  }

  /** Returns whether a run is to be stopped. */
  boolean isStopping(TaskId task) {
    return stopsWanted.contains(task);
  }

  /** Orders the stops that are due: of runs to be stopped, and of jobs that have ended. */
  void sendStops(ImmutableList<Task> bound, Instant now) {
    for (Task task : bound) {
      boolean wanted = task.job().phase().isTerminal() || stopsWanted.contains(task.id());
      Instant sentAt = stopsSentAt.get(task.id());
      boolean due = sentAt == null || now.isAfter(sentAt.plus(context.timings().stopRetry()));
      if (wanted && due) {
        stopsSentAt.put(task.id(), now);
        sendStop(task.id(), task.run());
      }
    }
  }

  /** Orders a stop once. */
  void sendStop(TaskId task, int run) {
    long token = session.fencingToken();
    Worker stopped = session.worker();
    context.whenDone(
        context.calls().stop(session.worker(), new StopOrder(task, run, token)),
        (reading, failure) -> {
          if (failure != null) {
            logRefusal(task, run, "stop: " + failure);
          } else if (stopped.isSameLife(session.worker())) {
            onStopped(task, run);
          }
        });
  }

  /** A run that was stopped before it came never comes, so a later listing without it is final. */
  private void onStopped(TaskId task, int run) {
    RunAttempt attempt = attempts.get(task);
    if (attempt != null && attempt.run() == run) {
      attempt.onConfirmed(context.now());
    }
  }

  /** Returns whether a bound run that a listing lacks can never appear. */
  boolean isGone(Task task, long token, Instant sentAt) {
    RunAttempt attempt = attempts.get(task.id());
    // Without an attempt of this leadership the order came from an earlier one, which is fenced.
    return attempt == null
        || attempt.run() != task.run()
        || attempt.isGoneIfUnlisted(token, sentAt);
  }

  /** Forgets a run whose end is committed. */
  void forget(RunEnd end) {
    TaskId.parse(end.task())
        .ifPresent(
            task -> {
              RunAttempt attempt = attempts.get(task);
              if (attempt != null && attempt.run() == end.run()) {
                attempts.remove(task);
              }
              stopsWanted.remove(task);
              stopsSentAt.remove(task);
            });
  }
}
