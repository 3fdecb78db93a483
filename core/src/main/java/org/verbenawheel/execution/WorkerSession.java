package org.verbenawheel.execution;

import com.google.common.collect.ImmutableCollection;
import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.verbenawheel.event.Event;
import org.verbenawheel.event.EventLine;
import org.verbenawheel.execution.WorkerCalls.ListedEnd;
import org.verbenawheel.execution.WorkerCalls.ListedRun;
import org.verbenawheel.execution.WorkerCalls.Listing;
import org.verbenawheel.execution.WorkerCalls.PollRequest;
import org.verbenawheel.job.JobCommands.RunEnd;
import org.verbenawheel.job.RunEnding;
import org.verbenawheel.job.Task;
import org.verbenawheel.job.TaskId;
import org.verbenawheel.worker.Worker;

/**
 * Controls one worker during one leadership: polls it, renews its lease, raises its fencing token,
 * starts and stops runs, and reconciles the runs that it lists with those bound to it. Confined to
 * the state thread.
 *
 * <p>A bound run that the worker does not list is released only if the listing is complete, so that
 * the run has not ended, and if it can never appear there: the worker refuses the start order
 * because of its fencing token, or its listing was requested after it had confirmed the run, or
 * every lease has expired, or the worker has ended. A report of another worker does not prove that:
 * it may be delayed, or come from another installation.
 */
final class WorkerSession {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final FleetContext context;
  private final Listener listener;
  private final RunOrders orders;
  private final StallDetector stallDetector = new StallDetector();
  private final Pacer pacer;
  private final PollSchedule pollSchedule;
  private final WorkerLeases leases;
  private Map<String, ListedRun> listed = new HashMap<>();
  private Worker worker;

  /** Whether this incarnation itself reported its attributes, and the registry keeps it. */
  private boolean recorded = true;

  private long fencingToken;
  private long confirmedToken = -1;
  private long pollTokenInFlight = -1;
  private int pollsInFlight;
  private long acknowledgedEnd;
  private Optional<Instant> lastContactAt = Optional.empty();
  private Instant noTasksBefore;
  private boolean pollRequested;
  private Optional<EndClaim> endClaim = Optional.empty();
  private Optional<CompletableFuture<?>> leaving = Optional.empty();

  /**
   * Creates a session.
   *
   * @param firstFencingToken higher than the tokens of all orders that were sent to the worker
   */
  WorkerSession(FleetContext context, Worker worker, Listener listener, long firstFencingToken) {
    this.context = context;
    this.listener = listener;
    this.worker = worker;
    this.pacer = new Pacer(context);
    this.pollSchedule = new PollSchedule(context.timings(), context.now());
    this.orders = new RunOrders(context, this);
    this.fencingToken = firstFencingToken;
    this.leases = new WorkerLeases(context.timings(), context.leadingSince());
    this.noTasksBefore = context.now();
  }

  /** Receives what the answers to polls tell about a worker. */
  interface Listener {
    /** The worker itself answered a poll. */
    void onAnswered(Worker worker);

    /** The worker has ended, so that its runs can be released. */
    void onEnded(Worker worker, ReleaseProof proof, String reason);
  }

  /**
   * A claim that the worker has ended, by a source that can know it.
   *
   * @param reason what the source said
   * @param madeAt only polls that are sent later verify the claim
   */
  private record EndClaim(String reason, Instant madeAt) {}

  /** Polls the worker at once, even if nothing is bound to it. */
  void requestPoll() {
    pollRequested = true;
    pollSchedule.pollNow(context.now());
  }

  /**
   * Ends the worker unless it answers a poll that is sent now. Until then it gets no tasks.
   *
   * @param reason why it must have ended unless it answers
   */
  void endUnlessAnswering(String reason) {
    if (endClaim.isEmpty()) {
      endClaim = Optional.of(new EndClaim(reason, context.now()));
      requestPoll();
    }
  }

  /**
   * Ends the runs of a worker that announced its end. It gets no tasks and no lease any more.
   *
   * @return completes once nothing is bound to the worker, or another incarnation is there
   */
  CompletableFuture<?> leave() {
    if (leaving.isEmpty()) {
      leaving = Optional.of(new CompletableFuture<>());
      requestPoll();
    }
    return leaving.get();
  }

  /** Returns the present claim if a poll that was sent at a time can verify it. */
  private Optional<EndClaim> claimBefore(Instant pollSentAt) {
    return endClaim.filter(claim -> !pollSentAt.isBefore(claim.madeAt()));
  }

  Worker worker() {
    return worker;
  }

  boolean hasBoundRuns() {
    return !context.jobRegistry().boundTo(worker.id()).isEmpty();
  }

  /** Returns whether the worker announced its end. */
  boolean isLeaving() {
    return leaving.isPresent();
  }

  /** Returns the runs of the worker's last listing, by task name. */
  Map<String, ListedRun> listed() {
    return listed;
  }

  RunOrders orders() {
    return orders;
  }

  long fencingToken() {
    return fencingToken;
  }

  WorkerLeases leases() {
    return leases;
  }

  /** Records an answer of an incarnation, which may have been replaced meanwhile. */
  void onAnswer(Worker addressee) {
    if (addressee.isSameIncarnation(worker)) {
      lastContactAt = Optional.of(context.now());
    }
  }

  /**
   * Records that a call failed; returns whether that showed that a later incarnation is there. A
   * call to an incarnation that is not the known one any more shows nothing new.
   */
  @CanIgnoreReturnValue
  boolean onCallFailed(Worker addressee, @Nullable Throwable failure) {
    return addressee.isSameIncarnation(worker)
        && failure instanceof WorkerCallException callFailure
        && callFailure.otherBornAtMilliseconds().filter(this::onOtherIncarnation).isPresent();
  }

  /** Assigns no new tasks to the worker until {@link ExecutionTimings#pollRetry()} has passed. */
  void backOff() {
    noTasksBefore = context.now().plus(context.timings().pollRetry());
  }

  /** Returns whether the worker answered the last poll, so that its listing is up to date. */
  boolean isAnswering() {
    return !pollSchedule.isFailing();
  }

  /** Returns whether the worker may be given tasks. */
  boolean takesTasks(Instant now) {
    return unschedulableReason(now).isEmpty();
  }

  /** Returns why the worker may not be given tasks; empty if it may. */
  Optional<UnschedulableReason> unschedulableReason(Instant now) {
    if (!recorded) {
      return Optional.of(UnschedulableReason.NOT_REPORTED);
    }
    if (worker.draining()) {
      return Optional.of(UnschedulableReason.DRAINING);
    }
    if (pollSchedule.isFailing()) {
      return Optional.of(UnschedulableReason.UNREACHABLE);
    }
    if (endClaim.isPresent()) {
      return Optional.of(UnschedulableReason.END_CLAIMED);
    }
    if (leaving.isPresent()) {
      return Optional.of(UnschedulableReason.LEAVING);
    }
    if (confirmedToken < context.firstFencingToken()) {
      return Optional.of(UnschedulableReason.NOT_FENCED);
    }
    if (now.isBefore(noTasksBefore)) {
      return Optional.of(UnschedulableReason.BACKING_OFF);
    }
    if (context.failureTracker().isQuarantined(worker.id(), now)) {
      return Optional.of(UnschedulableReason.QUARANTINED);
    }
    return isSilent(now) ? Optional.of(UnschedulableReason.SILENT) : Optional.empty();
  }

  private boolean isSilent(Instant now) {
    return lastContactAt
        .filter(at -> now.isBefore(at.plus(context.timings().contactTimeout())))
        .isEmpty();
  }

  /**
   * Returns whether the worker has been silent for so long that it can be forgotten, and no run is
   * bound to it.
   */
  boolean isExpired(Instant now) {
    Instant since = lastContactAt.orElse(context.leadingSince());
    return now.isAfter(since.plus(context.timings().forgetAfter()))
        && context.jobRegistry().boundTo(worker.id()).isEmpty();
  }

  /**
   * Updates the worker from its report, which may come from a new incarnation. A late one of an
   * earlier incarnation than a call has met is ignored; the registry may not know that one yet.
   */
  void onReport(Worker reported, Optional<Long> clockMilliseconds) {
    if (reported.bornAtMilliseconds() < worker.bornAtMilliseconds()) {
      return;
    }
    Instant now = context.now();
    if (!reported.isSameIncarnation(worker)) {
      resetForNewIncarnation();
    } else if (isSilent(now)) {
      pollSchedule.onSilenceEnded(now);
    }
    worker = reported;
    recorded = true;
    lastContactAt = Optional.of(now);
    clockMilliseconds.ifPresent(reading -> leases.onReading(reading, now));
  }

  /**
   * Records that the removal of the worker was not committed. It gets no tasks before it reports
   * again, since the removal may still be committed, and is polled after a pause.
   */
  void onRemovalFailed() {
    Instant now = context.now();
    recorded = false;
    lastContactAt = Optional.of(now);
    pollSchedule.onFailed(now, false);
  }

  /** Discards everything that was learned from an earlier incarnation of the worker. */
  private void resetForNewIncarnation() {
    leases.onNewIncarnation(context.now());
    confirmedToken = -1;
    acknowledgedEnd = 0;
    pollSchedule.onNewIncarnation();
    endClaim = Optional.empty();
    leaving.ifPresent(left -> left.complete(null));
    leaving = Optional.empty();
    listed = new HashMap<>();
    raiseFence();
  }

  /**
   * Raises the fencing token, so that the worker refuses all orders in flight, and polls it on the
   * next tick.
   */
  void raiseFence() {
    fencingToken++;
    pollSchedule.pollNow(context.now());
  }

  /**
   * Releases each run of an unreachable worker once its lease has expired, repeats stop orders, and
   * polls the worker if anything is bound or its state is unknown.
   */
  void onTick(Instant now) {
    ImmutableList<Task> bound = context.jobRegistry().boundTo(worker.id()).asList();
    if (pollSchedule.isFailing() && leases.haveAllExpired(now)) {
      releaseAll(bound, ReleaseProof.LEASES_EXPIRED);
    }
    if (leaving.isPresent()) {
      if (bound.isEmpty()) {
        leaving.get().complete(null);
        return;
      }
      bound.forEach(task -> orders.stop(task.id()));
    }
    if (confirmedToken >= context.firstFencingToken()) {
      orders.sendStops(bound, now);
    }
    boolean pollNeeded = pollRequested || !bound.isEmpty() || isStateUnknown();
    boolean pollAllowed = pollRequested || pollsInFlight == 0 || fencingToken > pollTokenInFlight;
    if (pollNeeded && pollAllowed && pollSchedule.isDue(now)) {
      poll(now, bound);
    }
  }

  /**
   * Returns whether something keeps the worker from tasks that only an answer to a poll can clear.
   * It is then polled until it answers or is forgotten, even if nothing is bound to it.
   */
  private boolean isStateUnknown() {
    return pollSchedule.isFailing() || confirmedToken < fencingToken || endClaim.isPresent();
  }

  private void poll(Instant now, ImmutableList<Task> bound) {
    boolean upToDate = confirmedToken == fencingToken && !pollSchedule.isFailing();
    long waitMilliseconds =
        upToDate && !bound.isEmpty() && !pollRequested
            ? context.timings().longPoll().toMillis()
            : 0;
    long token = fencingToken;
    pollRequested = false;
    pollsInFlight++;
    pollTokenInFlight = token;
    // The lease of a worker that may be lost, or that leaves, is not extended; otherwise its tasks
    // could never run elsewhere.
    boolean extendsLease = !pollSchedule.isFailing() && leaving.isEmpty();
    Optional<Long> leaseEnd = extendsLease ? leases.grant(now) : Optional.empty();
    PollRequest order = new PollRequest(token, acknowledgedEnd, leaseEnd, (int) waitMilliseconds);
    Worker polledWorker = worker;
    context.whenAnswered(
        context.calls().poll(worker, order),
        (listing, failure) -> {
          pollsInFlight--;
          if (!polledWorker.isSameIncarnation(worker)) {
            return;
          }
          if (listing != null) {
            onListing(listing, token, now);
          } else if (!onCallFailed(polledWorker, failure)) {
            onPollFailed(failure, now);
          }
        });
  }

  private void onPollFailed(@Nullable Throwable failure, Instant sentAt) {
    if (!pollSchedule.isFailing()) {
      logger.atWarning().log(
          "%s",
          EventLine.of(Event.WORKER_LOST)
              .with("worker", worker.id())
              .with("address", worker.address())
              .with("reason", String.valueOf(failure)));
    }
    pollSchedule.onFailed(context.now(), hasBoundRuns());
    boolean addressReused =
        failure instanceof WorkerCallException callFailure
            && callFailure.reason() == WorkerCallException.Reason.OTHER_WORKER;
    if (addressReused) {
      listener.onEnded(worker, ReleaseProof.ADDRESS_TAKEN, "another worker answers at its address");
      return;
    }
    claimBefore(sentAt)
        .ifPresent(
            claim -> listener.onEnded(worker, ReleaseProof.CLAIM_UNANSWERED, claim.reason()));
  }

  private void onListing(Listing listing, long token, Instant sentAt) {
    Instant now = context.now();
    Optional<Long> otherBorn =
        listing.bornAtMilliseconds().filter(born -> born != worker.bornAtMilliseconds());
    if (otherBorn.isPresent()) {
      onOtherIncarnation(otherBorn.get());
      return;
    }
    if (pollSchedule.isFailing() || confirmedToken < context.firstFencingToken()) {
      logger.atInfo().log(
          "%s",
          EventLine.of(Event.WORKER_REACHED)
              .with("worker", worker.id())
              .with("born", worker.bornAtMilliseconds())
              .with("fencing_token", token)
              .with("running", listing.running().size()));
    }
    if (claimBefore(sentAt).isPresent()) {
      endClaim = Optional.empty();
    }
    lastContactAt = Optional.of(now);
    leases.onReading(listing.clockMilliseconds(), now);
    confirmedToken = Math.max(confirmedToken, token);
    pollSchedule.onAnswered(now);
    listener.onAnswered(worker);
    reconcile(listing, token, sentAt);
    pacer.onListing(this, now);
    stallDetector
        .stalled(context.jobRegistry().boundTo(worker.id()), listed, pacer.slowedTasks(), now)
        .forEach(this::stopStalled);
  }

  private void stopStalled(TaskId task) {
    if (!orders.isStopping(task)) {
      orders.stop(task);
      logger.atWarning().log(
          "%s", EventLine.of(Event.RUN_STALLED).with("worker", worker.id()).with("task", task));
      context.failureTracker().onRunEnded(worker.id(), task, RunEnding.FAILED, context.now());
    }
  }

  /**
   * Handles the answer of another incarnation; returns whether it is a later one. It gets no tasks
   * before its report: it may be of another kind, and a later leader must know of it.
   */
  @CanIgnoreReturnValue
  private boolean onOtherIncarnation(long born) {
    context.log().onOtherIncarnation(worker, born);
    if (born < worker.bornAtMilliseconds()) {
      return false;
    }
    worker = worker.withBornAtMilliseconds(born);
    recorded = false;
    resetForNewIncarnation();
    return true;
  }

  private void reconcile(Listing listing, long token, Instant sentAt) {
    Map<String, ListedRun> running = new HashMap<>();
    listing.running().forEach(run -> running.put(run.task(), run));
    listed = running;
    Map<String, ListedEnd> ended = new HashMap<>();
    listing.ended().forEach(end -> ended.put(end.task() + '/' + end.run(), end));
    List<RunEnd> ends = new ArrayList<>();
    ImmutableCollection<Task> bound = context.jobRegistry().boundTo(worker.id());
    for (Task task : bound) {
      String name = task.id().text();
      ListedEnd end = ended.get(name + '/' + task.run());
      ListedRun run = running.get(name);
      if (end != null) {
        ends.add(new RunEnd(name, task.run(), end.ending(), end.checkpoint()));
        context.failureTracker().onRunEnded(worker.id(), task.id(), end.ending(), context.now());
      } else if (listing.complete() && (run == null || run.run() != task.run())) {
        orders
            .proofIfUnlisted(task, token, sentAt)
            .ifPresent(proof -> ends.add(release(task, proof, "")));
      }
    }
    stopUnboundRuns(listing);
    long newestEnd =
        listing.ended().stream().mapToLong(ListedEnd::number).max().orElse(acknowledgedEnd);
    if (!ends.isEmpty() || newestEnd > acknowledgedEnd) {
      Worker listedWorker = worker;
      context.endRecorder().record(ends, () -> onEndsRecorded(listedWorker, newestEnd, ends));
    }
  }

  private void onEndsRecorded(Worker listedWorker, long newestEnd, List<RunEnd> ends) {
    if (listedWorker.isSameIncarnation(worker)) {
      acknowledgedEnd = Math.max(acknowledgedEnd, newestEnd);
    }
    ends.forEach(orders::forget);
  }

  /** Stops listed runs that are not bound to this worker. */
  private void stopUnboundRuns(Listing listing) {
    for (ListedRun run : listing.running()) {
      Optional<TaskId> id = TaskId.parse(run.task());
      Optional<Task> task = id.flatMap(context.jobRegistry()::find);
      boolean expected =
          task.filter(found -> found.run() == run.run() && found.worker().isPresent())
              .flatMap(Task::worker)
              .filter(worker.id()::equals)
              .isPresent();
      if (id.isPresent() && !expected) {
        orders.sendStop(id.get(), run.run());
      }
    }
  }

  /** Records the given runs of a lost worker as lapsed, with their last listed checkpoints. */
  void releaseAll(ImmutableList<Task> bound, ReleaseProof proof) {
    if (bound.isEmpty()) {
      return;
    }
    logger.atWarning().log(
        "%s",
        EventLine.of(Event.WORKER_LOST)
            .with("worker", worker.id())
            .with("released", bound.size())
            .with("reason", proof));
    List<RunEnd> ends = new ArrayList<>();
    for (Task task : bound) {
      ends.add(release(task, proof, checkpointOf(task)));
    }
    context.endRecorder().record(ends, () -> ends.forEach(orders::forget));
  }

  private RunEnd release(Task task, ReleaseProof proof, String checkpoint) {
    return context
        .log()
        .onRelease(worker, fencingToken, task.id().text(), task.run(), proof, checkpoint);
  }

  private String checkpointOf(Task task) {
    ListedRun run = listed.get(task.id().text());
    return run != null && run.run() == task.run() ? run.checkpoint() : "";
  }
}
