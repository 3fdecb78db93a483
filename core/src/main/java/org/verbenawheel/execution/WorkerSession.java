package org.verbenawheel.execution;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.verbenawheel.event.Event;
import org.verbenawheel.event.EventLine;
import org.verbenawheel.execution.WorkerCalls.ListedEnd;
import org.verbenawheel.execution.WorkerCalls.ListedRun;
import org.verbenawheel.execution.WorkerCalls.Listing;
import org.verbenawheel.execution.WorkerCalls.LookOrder;
import org.verbenawheel.job.JobCommands.RunEnd;
import org.verbenawheel.job.RunEnding;
import org.verbenawheel.job.Task;
import org.verbenawheel.job.TaskId;
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
  private final RunOrders orders;
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
    this.orders = new RunOrders(context, this);
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

  /** Returns the orders to start and stop runs. */
  RunOrders orders() {
    return orders;
  }

  long fencingToken() {
    return fencingToken;
  }

  /** Returns the end of a lease that begins now; empty while the worker's clock is unknown. */
  Optional<Long> grantLease(Instant now) {
    return clock.grant(now);
  }

  /** Takes the clock of an answer. */
  void onAnswer(Optional<Long> clockMilliseconds) {
    Instant now = context.now();
    clockMilliseconds.ifPresent(reading -> clock.onReading(reading, now));
    lastContactAt = Optional.of(now);
  }

  /** Gives the worker no new tasks for a moment. */
  void backOff() {
    backOffUntil = context.now().plus(context.timings().lookRetry());
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

  /** Lets the worker refuse all orders that are under way. */
  void raiseFence() {
    fencingToken++;
    nextLookAt = context.now();
  }

  /** Does what is due. */
  void onTick(Instant now) {
    ImmutableList<Task> bound = context.ledger().boundTo(worker.id()).asList();
    if (failures > 0 && !bound.isEmpty() && clock.isEveryLeaseOver(now)) {
      releaseAll(bound, "every lease is over");
    }
    if (confirmedToken >= context.firstFencingToken()) {
      orders.sendStops(bound, now);
    }
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
    if (!orders.isStopping(task)) {
      orders.stop(task);
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
      } else if ((run == null || run.run() != task.run()) && orders.isGone(task, token, sentAt)) {
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

  private void onEndsRecorded(Worker listedWorker, long newest, List<RunEnd> ends) {
    if (listedWorker.isSameLife(worker)) {
      lastSeenEnd = Math.max(lastSeenEnd, newest);
    }
    ends.forEach(orders::forget);
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
        orders.sendStop(id.get(), run.run());
      }
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
    context.ends().record(ends, () -> ends.forEach(orders::forget));
  }

  private String checkpointOf(Task task) {
    ListedRun run = listed.get(task.id().text());
    return run != null && run.run() == task.run() ? run.checkpoint() : "";
  }
}
