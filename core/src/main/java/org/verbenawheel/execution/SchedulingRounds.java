package org.verbenawheel.execution;

import static com.google.common.collect.ImmutableSet.toImmutableSet;

import com.codahale.metrics.Timer;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.verbenawheel.event.Event;
import org.verbenawheel.event.EventLine;
import org.verbenawheel.job.Job;
import org.verbenawheel.job.JobCommands.RecordStarts;
import org.verbenawheel.job.JobCommands.RunStart;
import org.verbenawheel.job.Task;
import org.verbenawheel.job.TaskId;
import org.verbenawheel.queue.FleetConfigurationState;
import org.verbenawheel.replication.CommandSize;
import org.verbenawheel.scheduling.FreeCapacity;
import org.verbenawheel.scheduling.JobScheduler;
import org.verbenawheel.scheduling.SchedulingResult;

/**
 * Runs the scheduling rounds of one leadership: commits the bindings that {@link JobScheduler}
 * decides on, then sends the orders to start the runs. Confined to the state thread.
 */
final class SchedulingRounds {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Callers notice a round of this length, since their calls wait for the same thread. */
  private static final Duration SLOW_ROUND = Duration.ofMillis(50);

  private final FleetContext context;
  private final FleetConfigurationState configuration;
  private final CommandSink sink;
  private final JobScheduler scheduler;
  private final Function<Instant, List<FreeCapacity>> capacities;
  private final Map<String, WorkerSession> sessions;
  private final AdviceRequests advice;
  private final LongSupplier timeOfDayMilliseconds;
  private final Timer timer;
  private final RoundPacer pacer = new RoundPacer();
  private ImmutableMap<String, Long> shortages = ImmutableMap.of();
  private ImmutableSet<String> workersBeingBound = ImmutableSet.of();
  private boolean bindingInFlight;
  private boolean requested;
  private boolean ended;

  /**
   * Creates the rounds of a leadership.
   *
   * @param configuration the queues, counted in the log
   * @param sink commits bindings
   * @param capacities returns the free capacity of each worker that may be given tasks
   * @param sessions the sessions by worker id
   * @param advice returns the tickets that start orders carry
   * @param timeOfDayMilliseconds the wall clock, in milliseconds since 1970
   * @param timer receives the time of each round
   */
  SchedulingRounds(
      FleetContext context,
      FleetConfigurationState configuration,
      CommandSink sink,
      JobScheduler scheduler,
      Function<Instant, List<FreeCapacity>> capacities,
      Map<String, WorkerSession> sessions,
      AdviceRequests advice,
      LongSupplier timeOfDayMilliseconds,
      Timer timer) {
    this.context = context;
    this.configuration = configuration;
    this.sink = sink;
    this.scheduler = scheduler;
    this.capacities = capacities;
    this.sessions = sessions;
    this.advice = advice;
    this.timeOfDayMilliseconds = timeOfDayMilliseconds;
    this.timer = timer;
  }

  /**
   * Returns the processor time that the last round could not place, in thousandths of a core, by
   * pool.
   */
  ImmutableMap<String, Long> shortages() {
    return shortages;
  }

  /** Returns whether a binding to a worker is being committed. */
  boolean isBeingBound(String worker) {
    return workersBeingBound.contains(worker);
  }

  /** Ends the rounds; no task is bound or started any more. */
  void end() {
    ended = true;
  }

  /**
   * Requests that waiting tasks are bound to workers. The round runs after the tasks that wait for
   * the state thread, so that all requests until then share it; not before a binding in flight is
   * committed, and at the latest on the next tick that the pacer allows.
   */
  void request() {
    if (!requested) {
      requested = true;
      context.stateThread().execute(this::runIfRequested);
    }
  }

  /** Runs a round now, or as soon as the binding in flight and the pacer allow. */
  void runIfAllowed() {
    requested = true;
    runIfRequested();
  }

  private void runIfRequested() {
    if (requested && !ended && !bindingInFlight && pacer.isDue(context.now())) {
      requested = false;
      run();
    }
  }

  private void run() {
    if (context.jobRegistry().active().stream().noneMatch(Job::hasWaitingTask)) {
      shortages = ImmutableMap.of();
      return;
    }
    Instant begin = context.now();
    SchedulingResult decision =
        scheduler.decide(
            context.jobRegistry().active(),
            capacities.apply(begin),
            begin,
            timeOfDayMilliseconds.getAsLong());
    Instant end = context.now();
    pacer.onRound(begin, end);
    record(Duration.between(begin, end), decision);
    shortages = decision.shortages();
    if (!decision.starts().isEmpty()) {
      bind(decision.starts());
    }
  }

  private void record(Duration duration, SchedulingResult decision) {
    timer.update(duration);
    if (duration.compareTo(SLOW_ROUND) < 0) {
      return;
    }
    logger.atWarning().log(
        "%s",
        EventLine.of(Event.SCHEDULING_SLOW)
            .with("milliseconds", duration.toMillis())
            .with("jobs", context.jobRegistry().active().size())
            .with("workers", sessions.size())
            .with("queues", configuration.current().map(found -> found.queues().size()).orElse(0))
            .with("starts", decision.starts().size()));
  }

  private void bind(ImmutableList<RunStart> starts) {
    bindingInFlight = true;
    workersBeingBound = starts.stream().map(RunStart::worker).collect(toImmutableSet());
    for (RunStart start : starts) {
      TaskId.parse(start.task())
          .ifPresent(task -> requireSession(start.worker()).orders().onBinding(task, start.run()));
    }
    commitNextPart(starts);
  }

  /** Commits as many of the starts as fit into one command, and the others after them. */
  private void commitNextPart(ImmutableList<RunStart> starts) {
    int count = CommandSize.countInOnePart(starts, RunStart::maximumEncodedBytes);
    ImmutableList<RunStart> part = starts.subList(0, count);
    ImmutableList<RunStart> later = starts.subList(count, starts.size());
    context.whenDone(
        sink.commit(new RecordStarts(part)),
        (reply, failure) -> onBound(part, later, failure == null));
  }

  private WorkerSession requireSession(String worker) {
    return Objects.requireNonNull(
        sessions.get(worker), "the scheduler chose a worker without a session");
  }

  private void onBound(
      ImmutableList<RunStart> part, ImmutableList<RunStart> later, boolean committed) {
    if (!ended && committed) {
      part.forEach(this::startRun);
      if (!later.isEmpty()) {
        commitNextPart(later);
        return;
      }
    }
    bindingInFlight = false;
    workersBeingBound = ImmutableSet.of();
    if (!ended) {
      if (!committed) {
        part.forEach(this::cancelBinding);
        later.forEach(this::cancelBinding);
      }
      runIfRequested();
    }
  }

  /**
   * Removes the attempt of a start that is not known to be committed. If it is committed later, the
   * worker's next listing shows that its order was never sent, and releases the task.
   */
  private void cancelBinding(RunStart start) {
    WorkerSession session = sessions.get(start.worker());
    if (session != null) {
      TaskId.parse(start.task()).ifPresent(session.orders()::onNotBound);
    }
  }

  private void startRun(RunStart start) {
    TaskId id = TaskId.parse(start.task()).orElseThrow();
    Optional<Task> task =
        context
            .jobRegistry()
            .find(id)
            .filter(
                found ->
                    found.run() == start.run()
                        && found.worker().filter(start.worker()::equals).isPresent());
    WorkerSession session = sessions.get(start.worker());
    if (session == null) {
      return;
    }
    if (task.isEmpty()) {
      session.orders().onNotBound(id);
      return;
    }
    logger.atInfo().log(
        "%s",
        EventLine.of(Event.RUN_BOUND)
            .with("task", start.task())
            .with("run", start.run())
            .with("worker", start.worker())
            .with("born", session.worker().bornAtMilliseconds()));
    session.orders().start(task.get(), advice.ticket(task.get(), session.worker()));
  }
}
