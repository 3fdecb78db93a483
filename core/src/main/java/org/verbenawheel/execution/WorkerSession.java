package org.verbenawheel.execution;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.verbenawheel.event.Event;
import org.verbenawheel.event.EventLine;
import org.verbenawheel.execution.WorkerCalls.ListedEnd;
import org.verbenawheel.execution.WorkerCalls.ListedRun;
import org.verbenawheel.execution.WorkerCalls.Listing;
import org.verbenawheel.execution.WorkerCalls.LookOrder;
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
 * Commands one worker during one leadership: raises the fence, holds the lease, starts and stops
 * runs, and compares what the worker lists with what is bound to it. Belongs to the state thread.
 *
 * <p>A run that is bound here and not listed is released only if it can never appear: the worker
 * refuses the order by its fencing token, or has listed without it after it was there, or every
 * lease is over.
 */
final class WorkerSession {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final FleetContext context;
  private final Map<TaskId, RunAttempt> attempts = new HashMap<>();
  private final Map<TaskId, Instant> stopsSentAt = new HashMap<>();
  private final Set<TaskId> stopsWanted = new HashSet<>();
  private final StallDetector stalls = new StallDetector();
  private final Pacer pacer;
  private Map<String, ListedRun> listed = new HashMap<>();
  private Worker worker;
  private WorkerClock clock;
  private long fencingToken;
  private long confirmedToken = -1;
  private long lookTokenInFlight = -1;
  private int looksInFlight;
  private int failures;
  private long lastSeenEnd;
  private Instant nextLookAt;
  private Optional<Instant> lastContactAt = Optional.empty();
  private Instant backOffUntil;

  WorkerSession(FleetContext context, Worker worker) {
    this.context = context;
    this.worker = worker;
    this.pacer = new Pacer(context);
    this.fencingToken = context.firstFencingToken();
    this.clock = new WorkerClock(context.timings(), context.since());
    this.nextLookAt = context.now();
    this.backOffUntil = context.now();
  }

  Worker worker() {
    return worker;
  }

  /** Returns what the worker last listed, by the tasks' names. */
  Map<String, ListedRun> listed() {
    return listed;
  }

  long fencingToken() {
    return fencingToken;
  }

  /** Returns whether the worker answered the last look, so that its listing can be believed. */
  boolean isAnswering() {
    return failures == 0;
  }

  /** Returns whether the worker may be given tasks. */
  boolean takesTasks(Instant now) {
    return !worker.draining()
        && failures == 0
        && confirmedToken >= context.firstFencingToken()
        && !now.isBefore(backOffUntil)
        && !context.trust().isQuarantined(worker.id(), now)
        && lastContactAt
            .filter(at -> now.isBefore(at.plus(context.timings().contactTimeout())))
            .isPresent();
  }

  /** Returns whether the worker has been silent for so long that it can be forgotten. */
  boolean isForgettable(Instant now) {
    Instant since = lastContactAt.orElse(context.since());
    return now.isAfter(since.plus(context.timings().forgetAfter()))
        && context.ledger().boundTo(worker.id()).isEmpty();
  }

  /** Takes what the worker says of itself. */
  void onReport(Worker reported, Optional<Long> clockMilliseconds) {
    Instant now = context.now();
    if (!reported.isSameLife(worker)) {
      startAnew();
    }
    worker = reported;
    lastContactAt = Optional.of(now);
    clockMilliseconds.ifPresent(reading -> clock.onReading(reading, now));
  }

  /** Forgets what was known of an earlier life of the worker. */
  private void startAnew() {
    clock = new WorkerClock(context.timings(), context.since());
    lastSeenEnd = 0;
    failures = 0;
    listed = new HashMap<>();
    raiseFence();
  }

  private void raiseFence() {
    fencingToken++;
    nextLookAt = context.now();
  }

  /** Does what is due. */
  void onTick(Instant now) {
    ImmutableList<Task> bound = context.ledger().boundTo(worker.id()).asList();
    if (failures > 0 && !bound.isEmpty() && clock.isEveryLeaseOver(now)) {
      releaseAll(bound, "every lease is over");
    }
    sendStops(bound, now);
    boolean wanted = !bound.isEmpty() || confirmedToken < fencingToken;
    boolean free = looksInFlight == 0 || fencingToken > lookTokenInFlight;
    if (wanted && free && !now.isBefore(nextLookAt)) {
      look(now, bound);
    }
  }

  private void look(Instant now, ImmutableList<Task> bound) {
    boolean settled = confirmedToken == fencingToken && failures == 0;
    long wait = settled && !bound.isEmpty() ? context.timings().longLook().toMillis() : 0;
    long token = fencingToken;
    looksInFlight++;
    lookTokenInFlight = token;
    // A worker that may be lost gets no longer lease, or its tasks could never run elsewhere.
    Optional<Long> leaseEnd = failures == 0 ? clock.grant(now) : Optional.empty();
    LookOrder order = new LookOrder(token, lastSeenEnd, leaseEnd, (int) wait);
    Worker asked = worker;
    context.whenDone(
        context.calls().look(worker, order),
        (listing, failure) -> {
          looksInFlight--;
          if (!asked.isSameLife(worker)) {
            return;
          }
          if (listing != null) {
            onListing(listing, token, now);
          } else {
            onLookFailed(failure);
          }
        });
  }

  private void onLookFailed(@Nullable Throwable failure) {
    if (failures == 0) {
      logger.atWarning().log(
          "%s",
          EventLine.of(Event.WORKER_LOST)
              .with("worker", worker.id())
              .with("address", worker.address())
              .with("reason", String.valueOf(failure)));
    }
    failures++;
    nextLookAt = context.now().plus(context.timings().lookRetry());
    boolean gone =
        failure instanceof WorkerCallException refused
            && refused.reason() == WorkerCallException.Reason.OTHER_WORKER;
    if (gone) {
      releaseAll(context.ledger().boundTo(worker.id()).asList(), "another worker has its address");
    }
  }

  private void onListing(Listing listing, long token, Instant sentAt) {
    Instant now = context.now();
    boolean otherLife =
        listing
            .bornAtMilliseconds()
            .filter(born -> born != worker.bornAtMilliseconds())
            .isPresent();
    if (otherLife) {
      onOtherLife(listing.bornAtMilliseconds().orElseThrow());
      return;
    }
    if (failures > 0 || confirmedToken < context.firstFencingToken()) {
      logger.atInfo().log(
          "%s",
          EventLine.of(Event.WORKER_REACHED)
              .with("worker", worker.id())
              .with("fencing_token", token)
              .with("running", listing.running().size()));
    }
    failures = 0;
    lastContactAt = Optional.of(now);
    clock.onReading(listing.clockMilliseconds(), now);
    confirmedToken = Math.max(confirmedToken, token);
    nextLookAt = now.plus(context.timings().lookPause());
    compare(listing, token, sentAt);
    pacer.onListing(this, now);
    stalls
        .stalled(context.ledger().boundTo(worker.id()), listed, pacer.paced(), now)
        .forEach(this::stopStalled);
  }

  private void stopStalled(TaskId task) {
    if (stopsWanted.add(task)) {
      logger.atWarning().log(
          "%s", EventLine.of(Event.RUN_STALLED).with("worker", worker.id()).with("task", task));
      context.trust().onEnd(worker.id(), task, RunEnding.FAILED, context.now());
    }
  }

  /** The worker restarted under its id: its report will tell the rest. */
  private void onOtherLife(long born) {
    if (born > worker.bornAtMilliseconds()) {
      worker = worker.bornAt(born);
      startAnew();
    }
  }

  private void compare(Listing listing, long token, Instant sentAt) {
    Map<String, ListedRun> running = new HashMap<>();
    listing.running().forEach(run -> running.put(run.task(), run));
    listed = running;
    Map<String, ListedEnd> ended = new HashMap<>();
    listing.ended().forEach(end -> ended.put(end.task() + '/' + end.run(), end));
    List<RunEnd> ends = new ArrayList<>();
    for (Task task : context.ledger().boundTo(worker.id())) {
      String name = task.id().text();
      ListedEnd end = ended.get(name + '/' + task.run());
      ListedRun run = running.get(name);
      if (end != null) {
        ends.add(new RunEnd(name, task.run(), end.ending(), end.checkpoint()));
        context.trust().onEnd(worker.id(), task.id(), end.ending(), context.now());
      } else if ((run == null || run.run() != task.run()) && isGone(task, token, sentAt)) {
        ends.add(new RunEnd(name, task.run(), RunEnding.NOT_STARTED, ""));
      }
    }
    stopStrangers(listing);
    long newest = listing.ended().stream().mapToLong(ListedEnd::number).max().orElse(lastSeenEnd);
    if (!ends.isEmpty() || newest > lastSeenEnd) {
      Worker listedWorker = worker;
      context.ends().record(ends, () -> onEndsRecorded(listedWorker, newest, ends));
    }
  }

  private boolean isGone(Task task, long token, Instant sentAt) {
    RunAttempt attempt = attempts.get(task.id());
    // Without an attempt of this leadership the order came from an earlier one, which is fenced.
    return attempt == null
        || attempt.run() != task.run()
        || attempt.isGoneIfUnlisted(token, sentAt);
  }

  private void onEndsRecorded(Worker listedWorker, long newest, List<RunEnd> ends) {
    if (listedWorker.isSameLife(worker)) {
      lastSeenEnd = Math.max(lastSeenEnd, newest);
    }
    ends.forEach(end -> forgetAttempt(end));
  }

  private void forgetAttempt(RunEnd end) {
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

  /** Stops what runs here without being bound here. */
  private void stopStrangers(Listing listing) {
    for (ListedRun run : listing.running()) {
      Optional<TaskId> id = TaskId.parse(run.task());
      Optional<Task> task = id.flatMap(context.ledger()::find);
      boolean expected =
          task.filter(known -> known.run() == run.run() && known.worker().isPresent())
              .flatMap(Task::worker)
              .filter(worker.id()::equals)
              .isPresent();
      if (id.isPresent() && !expected) {
        sendStop(id.get(), run.run());
      }
    }
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
    Optional<Long> leaseEnd = clock.grant(now);
    int run = task.run();
    if (attempt == null || leaseEnd.isEmpty()) {
      onStartRefused(task.id(), run, "the worker's clock is unknown");
      return;
    }
    long token = fencingToken;
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
        context.calls().start(worker, order),
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
    answer.clockMilliseconds().ifPresent(reading -> clock.onReading(reading, now));
    lastContactAt = Optional.of(now);
    if (answer.outcome() == StartOutcome.STARTED) {
      attempt.onConfirmed(now);
      return;
    }
    backOffUntil = now.plus(context.timings().lookRetry());
    onStartRefused(task, attempt.run(), answer.outcome().name());
  }

  private void onStartFailed(TaskId task, RunAttempt attempt, @Nullable Throwable failure) {
    boolean neverRuns =
        failure instanceof WorkerCallException refused && refused.verdict() == RunVerdict.NOT_RUN;
    backOffUntil = context.now().plus(context.timings().lookRetry());
    if (neverRuns) {
      onStartRefused(task, attempt.run(), String.valueOf(failure));
      return;
    }
    logRefusal(task, attempt.run(), "no clear answer, fence raised: " + failure);
    raiseFence();
  }

  private void onStartRefused(TaskId task, int run, String reason) {
    logRefusal(task, run, reason);
    RunEnd end = new RunEnd(task.text(), run, RunEnding.NOT_STARTED, "");
    context.ends().record(ImmutableList.of(end), () -> forgetAttempt(end));
  }

  private void logRefusal(TaskId task, int run, String reason) {
    logger.atWarning().atMostEvery(10, TimeUnit.MILLISECONDS).log(
        "%s",
        EventLine.of(Event.WORKER_ORDER_FAILED)
            .with("worker", worker.id())
            .with("task", task)
            .with("run", run)
            .with("fencing_token", fencingToken)
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

  private void sendStops(ImmutableList<Task> bound, Instant now) {
    for (Task task : bound) {
      boolean wanted = task.job().phase().isTerminal() || stopsWanted.contains(task.id());
      Instant sentAt = stopsSentAt.get(task.id());
      boolean due = sentAt == null || now.isAfter(sentAt.plus(context.timings().stopRetry()));
      if (wanted && due && confirmedToken >= context.firstFencingToken()) {
        stopsSentAt.put(task.id(), now);
        sendStop(task.id(), task.run());
      }
    }
  }

  private void sendStop(TaskId task, int run) {
    long token = fencingToken;
    Worker stopped = worker;
    context.whenDone(
        context.calls().stop(worker, new StopOrder(task, run, token)),
        (reading, failure) -> {
          if (failure != null) {
            logRefusal(task, run, "stop: " + failure);
          } else if (stopped.isSameLife(worker)) {
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

  /** Releases all runs of a worker that ended. */
  void releaseAll(ImmutableList<Task> bound, String reason) {
    if (bound.isEmpty()) {
      return;
    }
    logger.atWarning().log(
        "%s",
        EventLine.of(Event.WORKER_LOST)
            .with("worker", worker.id())
            .with("released", bound.size())
            .with("reason", reason));
    List<RunEnd> ends = new ArrayList<>();
    for (Task task : bound) {
      ends.add(new RunEnd(task.id().text(), task.run(), RunEnding.LAPSED, checkpointOf(task)));
    }
    context.ends().record(ends, () -> ends.forEach(this::forgetAttempt));
  }

  private String checkpointOf(Task task) {
    ListedRun run = listed.get(task.id().text());
    return run != null && run.run() == task.run() ? run.checkpoint() : "";
  }
}
