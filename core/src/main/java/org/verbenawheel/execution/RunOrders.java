package org.verbenawheel.execution;

import com.google.common.collect.ImmutableList;
import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.verbenawheel.execution.WorkerCalls.StartOrder;
import org.verbenawheel.execution.WorkerCalls.StartOutcome;
import org.verbenawheel.execution.WorkerCalls.StopOrder;
import org.verbenawheel.job.JobCommands.RunEnd;
import org.verbenawheel.job.Task;
import org.verbenawheel.job.TaskId;
import org.verbenawheel.request.RunVerdict;
import org.verbenawheel.worker.Worker;

/**
 * Sends one worker the orders to start and stop runs, and tracks which of them may still arrive.
 * Confined to the state thread.
 */
final class RunOrders {
  /**
   * How many start orders, and how many stop orders, a worker may be sent before it answers. An
   * order that waits too long behind others times out, and its run starts over.
   */
  private static final int MAXIMUM_UNANSWERED = 64;

  /** At this number of unanswered starts another round fills them up. */
  private static final int REFILL_UNANSWERED = MAXIMUM_UNANSWERED / 2;

  private final FleetContext context;
  private final WorkerSession session;
  private final Map<TaskId, RunAttempt> attempts = new HashMap<>();
  private final Map<TaskId, Instant> stopsSentAt = new HashMap<>();
  private final Set<TaskId> tasksToStop = new HashSet<>();
  private int unansweredStarts;
  private int unansweredStops;

  RunOrders(FleetContext context, WorkerSession session) {
    this.context = context;
    this.session = session;
  }

  /** Returns how many runs may be bound to the worker now. */
  int remainingStarts() {
    return Math.max(0, MAXIMUM_UNANSWERED - unansweredStarts);
  }

  /** Records that the binding of a run to this worker is about to be committed. */
  void onBinding(TaskId task, int run) {
    attempts.put(task, new RunAttempt(run));
    unansweredStarts++;
  }

  /** Removes a run whose binding did not take effect. */
  void onNotBound(TaskId task) {
    attempts.remove(task);
    onStartAnswered();
  }

  private void onStartAnswered() {
    unansweredStarts--;
    if (unansweredStarts == REFILL_UNANSWERED) {
      context.requestRound().run();
    }
  }

  /** Sends the order to start a run that is bound to this worker. */
  void start(Task task, Optional<String> ticket) {
    Instant now = context.now();
    RunAttempt attempt = attempts.get(task.id());
    boolean mayStart = attempt != null && !session.isLeaving();
    Optional<Long> leaseEnd = mayStart ? session.leases().grant(now) : Optional.empty();
    int run = task.run();
    if (attempt == null || leaseEnd.isEmpty()) {
      onStartAnswered();
      onNotStarted(
          task.id(),
          attempt == null ? new RunAttempt(run) : attempt,
          ReleaseProof.NOT_SENT,
          "the worker leaves, or its clock is unknown");
      return;
    }
    long token = session.fencingToken();
    Worker addressee = session.worker();
    attempt.onSent(addressee, token);
    StartOrder order =
        new StartOrder(
            task.id(),
            run,
            task.job().specification().payload(),
            leaseEnd.get(),
            token,
            task.checkpoint(),
            ticket);
    context.whenAnswered(
        context.calls().start(addressee, order),
        (outcome, failure) -> {
          onStartAnswered();
          if (outcome != null) {
            onStartAnswer(task.id(), attempt, outcome);
          } else {
            onStartFailed(task.id(), attempt, failure);
          }
        });
  }

  private void onStartAnswer(TaskId task, RunAttempt attempt, StartOutcome outcome) {
    Instant now = context.now();
    attempt.worker().ifPresent(session::onAnswer);
    if (outcome == StartOutcome.STARTED) {
      attempt.onConfirmed(now);
      return;
    }
    if (outcome == StartOutcome.NO_TICKET) {
      context.adviceCache().remove(task.stepText(), session.worker().id());
    } else {
      session.backOff();
    }
    onNotStarted(task, attempt, ReleaseProof.REFUSED, outcome.name());
  }

  private void onStartFailed(TaskId task, RunAttempt attempt, @Nullable Throwable failure) {
    attempt.worker().ifPresent(addressee -> session.onCallFailed(addressee, failure));
    session.backOff();
    if (!mayHaveRun(failure)) {
      onNotStarted(task, attempt, ReleaseProof.REFUSED, String.valueOf(failure));
      return;
    }
    logFailedStart(task, attempt, true, "start: " + failure);
    session.raiseFence();
  }

  /**
   * Releases a task whose order did not start its run. If the commit fails, the next listing
   * releases it again.
   */
  private void onNotStarted(TaskId task, RunAttempt attempt, ReleaseProof proof, String reason) {
    attempt.onNotStarted(proof);
    logFailedStart(task, attempt, false, "start: " + reason);
    Worker worker = attempt.worker().orElse(session.worker());
    RunEnd end =
        context
            .log()
            .onRelease(worker, attempt.fencingToken(), task.text(), attempt.run(), proof, "");
    context.endRecorder().record(ImmutableList.of(end), () -> forget(end));
  }

  private void logFailedStart(TaskId task, RunAttempt attempt, boolean undecided, String reason) {
    Worker worker = attempt.worker().orElse(session.worker());
    context
        .log()
        .onOrderFailed(worker, attempt.fencingToken(), task, attempt.run(), undecided, reason);
  }

  private static boolean mayHaveRun(@Nullable Throwable failure) {
    return !(failure instanceof WorkerCallException refused)
        || refused.verdict() != RunVerdict.NOT_RUN;
  }

  /**
   * Marks a run that is bound to this worker for stopping. Stop orders are repeated until its end
   * is recorded.
   */
  void stop(TaskId task) {
    tasksToStop.add(task);
  }

  /** Returns whether a run is marked for stopping. */
  boolean isStopping(TaskId task) {
    return tasksToStop.contains(task);
  }

  /**
   * Sends or repeats stop orders for runs that are marked for stopping and for runs of jobs that
   * have ended.
   */
  void sendStops(ImmutableList<Task> bound, Instant now) {
    for (Task task : bound) {
      boolean mustStop = task.job().phase().isTerminal() || tasksToStop.contains(task.id());
      Instant sentAt = stopsSentAt.get(task.id());
      boolean due = sentAt == null || now.isAfter(sentAt.plus(context.timings().stopRetry()));
      if (mustStop && due && sendStop(task.id(), task.run())) {
        stopsSentAt.put(task.id(), now);
      }
    }
  }

  /** Sends one stop order, unless too many are unanswered; returns whether it was sent. */
  @CanIgnoreReturnValue
  boolean sendStop(TaskId task, int run) {
    if (unansweredStops >= MAXIMUM_UNANSWERED) {
      return false;
    }
    unansweredStops++;
    long token = session.fencingToken();
    Worker stoppedWorker = session.worker();
    context.whenAnswered(
        context.calls().stop(stoppedWorker, new StopOrder(task, run, token)),
        (reading, failure) -> {
          unansweredStops--;
          if (failure != null) {
            session.onCallFailed(stoppedWorker, failure);
            context
                .log()
                .onOrderFailed(
                    stoppedWorker, token, task, run, mayHaveRun(failure), "stop: " + failure);
          } else if (stoppedWorker.isSameIncarnation(session.worker())) {
            onStopped(task, run);
          }
        });
    return true;
  }

  /**
   * Handles the answer to a stop order. A worker never starts a run that was stopped before its
   * start order arrived, so a later listing without the run is final.
   */
  private void onStopped(TaskId task, int run) {
    RunAttempt attempt = attempts.get(task);
    if (attempt != null && attempt.run() == run) {
      attempt.onConfirmed(context.now());
    }
  }

  /** Returns why a bound run that a listing lacks can never appear there; empty if it can. */
  Optional<ReleaseProof> proofIfUnlisted(Task task, long token, Instant sentAt) {
    RunAttempt attempt = attempts.get(task.id());
    if (attempt == null || attempt.run() != task.run()) {
      // An earlier leader sent the order, and the worker refuses it by its fencing token.
      return Optional.of(ReleaseProof.FENCED);
    }
    return attempt.proofIfUnlisted(token, sentAt);
  }

  /** Removes a run whose end is committed. */
  void forget(RunEnd end) {
    TaskId.parse(end.task())
        .ifPresent(
            task -> {
              RunAttempt attempt = attempts.get(task);
              if (attempt != null && attempt.run() == end.run()) {
                attempts.remove(task);
              }
              tasksToStop.remove(task);
              stopsSentAt.remove(task);
            });
  }
}
