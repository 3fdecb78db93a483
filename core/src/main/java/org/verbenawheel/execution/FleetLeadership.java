package org.verbenawheel.execution;

import static com.google.common.collect.ImmutableSet.toImmutableSet;

import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.flogger.FluentLogger;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.verbenawheel.event.Event;
import org.verbenawheel.event.EventLine;
import org.verbenawheel.host.HostOrderRegistry;
import org.verbenawheel.job.Job;
import org.verbenawheel.job.JobCommands.RunEnd;
import org.verbenawheel.job.JobRegistry;
import org.verbenawheel.job.Task;
import org.verbenawheel.queue.AdvicePolicy;
import org.verbenawheel.queue.FleetConfigurationState;
import org.verbenawheel.queue.QueueRoute;
import org.verbenawheel.scheduling.FreeCapacity;
import org.verbenawheel.scheduling.JobScheduler;
import org.verbenawheel.wave.UpkeepPhase;
import org.verbenawheel.wave.WaveRegistry;
import org.verbenawheel.worker.Worker;
import org.verbenawheel.worker.WorkerRegistry;

/**
 * Runs the accepted jobs on the workers while this process leads: keeps a session with each worker,
 * binds waiting tasks to workers, sends orders for what was committed, and drives maintenance waves
 * and moves of hosts. Confined to the state thread.
 */
public final class FleetLeadership {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * A leadership can raise the fencing token of one worker this often before it reaches the first
   * token of the next term.
   */
  private static final long FENCING_TOKENS_PER_TERM = 1L << 16;

  private final FleetContext context;
  private final FleetConfigurationState configuration;
  private final AdviceRequests advice;
  private final Map<String, WorkerSession> sessions = new LinkedHashMap<>();
  private final WorkerRoster roster;
  private final Evacuations evacuations;
  private final WaveController waves;
  private final WaveRegistry waveRegistry;
  private final HostMover hostMover;
  private final SchedulingRounds rounds;
  private final UnschedulableLog unschedulableLog;
  private boolean ended;

  private FleetLeadership(Factory factory, long term) {
    this.configuration = factory.configuration;
    this.context =
        new FleetContext(
            factory.jobRegistry,
            factory.calls,
            factory.timings,
            factory.clock,
            factory.stateThread,
            new EndRecorder(factory.sink, factory.stateThread, this::requestRound),
            this::requestRound,
            new WorkerFailureTracker(),
            new AdviceCache(),
            new ExecutionLog(factory.metrics),
            term * FENCING_TOKENS_PER_TERM,
            factory.clock.instant(),
            () -> ended);
    this.roster =
        new WorkerRoster(
            context,
            factory.registry,
            factory.sink,
            sessions,
            this::requestRound,
            factory.timeOfDayMilliseconds,
            new KnownPools(factory.configuration, factory.jobRegistry));
    this.advice =
        new AdviceRequests(context, factory.adviser, this::advicePolicyOf, this::requestRound);
    this.rounds =
        new SchedulingRounds(
            context,
            factory.configuration,
            factory.sink,
            new JobScheduler(this::poolOf, advice::permittedWorkers),
            this::schedulableCapacities,
            sessions,
            advice,
            factory.timeOfDayMilliseconds,
            factory.metrics.timer("scheduling.round"));
    this.evacuations = new Evacuations(context, sessions, this::isStandbyPool, this::onWorkerEnded);
    HostCalls.OrderIssuer orderIssuer =
        new HostCalls.OrderIssuer(factory.process, term, factory.mayOrder);
    HostOrderRecorder orderRecorder =
        new HostOrderRecorder(
            context, factory.hostOrders, factory.sink, term, factory.moveTimings.orderLease());
    this.unschedulableLog = new UnschedulableLog(factory.metrics);
    this.waveRegistry = factory.waves;
    this.waves =
        new WaveController(
            context,
            factory.waves,
            factory.sink,
            factory.hostCalls,
            orderIssuer,
            factory.waveTimings,
            evacuations,
            this::isMoving,
            orderRecorder);
    this.hostMover =
        new HostMover(
            context,
            factory.configuration,
            sessions,
            factory.hostCalls,
            orderIssuer,
            orderRecorder,
            factory.hostOrders.recent(),
            factory.moveTimings,
            new PoolDemand(this::poolOf, factory.moveTimings.hostArrivalDelay()),
            this::onWorkerEnded);
    logger.atInfo().log(
        "%s",
        EventLine.of(Event.FLEET_COMMAND)
            .with("commands", true)
            .with("term", term)
            .with("workers", sessions.size())
            .with("active_jobs", factory.jobRegistry.active().size()));
  }

  /**
   * Everything that a process needs to begin a leadership.
   *
   * @param jobRegistry the jobs
   * @param registry the workers
   * @param configuration the queues and pools
   * @param sink commits the leader's commands
   * @param calls sends orders to workers
   * @param hostCalls sends orders about hosts to the platform
   * @param adviser decides which workers may run a step
   * @param waves the maintenance waves
   * @param hostOrders the recent orders for hosts
   * @param process the name of this process
   * @param mayOrder whether this process may still give orders about hosts; thread-safe
   * @param timings intervals and timeouts of orders to workers
   * @param waveTimings intervals and durations of maintenance waves
   * @param moveTimings intervals and durations of moves of hosts
   * @param clock a monotonic clock
   * @param timeOfDayMilliseconds the wall clock, in milliseconds since 1970
   * @param stateThread the thread that owns the state
   * @param metrics receives the time of each scheduling round
   */
  public record Factory(
      JobRegistry jobRegistry,
      WorkerRegistry registry,
      FleetConfigurationState configuration,
      CommandSink sink,
      WorkerCalls calls,
      HostCalls hostCalls,
      PlacementAdviser adviser,
      WaveRegistry waves,
      HostOrderRegistry hostOrders,
      String process,
      BooleanSupplier mayOrder,
      ExecutionTimings timings,
      WaveTimings waveTimings,
      MoveTimings moveTimings,
      InstantSource clock,
      LongSupplier timeOfDayMilliseconds,
      Executor stateThread,
      MetricRegistry metrics) {

    /**
     * Begins the leadership of a term. Every entry of earlier terms must have been applied.
     *
     * @param term the replication term that this process leads
     */
    public FleetLeadership begin(long term) {
      return new FleetLeadership(this, term);
    }
  }

  /**
   * Releases, polls, orders and binds whatever is due by now. Must be called several times a
   * second, and only while this process may decide.
   */
  public void onTick() {
    Instant now = context.now();
    for (WorkerSession session : ImmutableList.copyOf(sessions.values())) {
      session.onTick(now);
      unschedulableLog.record(session.worker(), session.unschedulableReason(now), now);
      if (session.isExpired(now)) {
        roster.forgetInBackground(session.worker(), ReleaseProof.WORKER_FORGOTTEN, "silent");
      }
    }
    unschedulableLog.retainOnly(sessions.keySet());
    releaseRunsOfForgottenWorkers();
    waves.onTick(now);
    rounds.runIfAllowed();
    advice.askNext(job -> usableWorkers(poolOf(job), now));
    hostMover.onTick(
        now,
        new HostMover.FleetView(
            rounds.shortages(), hostsInMaintenance(), worker -> isUsable(worker, now)));
  }

  private ImmutableSet<String> hostsInMaintenance() {
    return waveRegistry.running().stream()
        .flatMap(wave -> wave.hosts().entrySet().stream())
        .filter(host -> host.getValue() != UpkeepPhase.FINISHED)
        .map(Map.Entry::getKey)
        .collect(toImmutableSet());
  }

  /**
   * Releases runs whose binding was committed while their worker was being forgotten. No start
   * order was sent for them.
   */
  private void releaseRunsOfForgottenWorkers() {
    List<RunEnd> ends = new ArrayList<>();
    for (String worker : context.jobRegistry().boundWorkers()) {
      if (!sessions.containsKey(worker)) {
        for (Task task : context.jobRegistry().boundTo(worker)) {
          ends.add(context.log().onReleaseFromForgotten(worker, task.id().text(), task.run()));
        }
      }
    }
    if (!ends.isEmpty()) {
      context.endRecorder().record(ends, () -> {});
    }
  }

  /** Returns the roster, which accepts the reports of workers. */
  public WorkerRoster roster() {
    return roster;
  }

  /**
   * Ends the leadership; no task is bound or started any more, and no answer of a worker counts.
   */
  public void end() {
    ended = true;
    rounds.end();
    logger.atInfo().log("%s", EventLine.of(Event.FLEET_COMMAND).with("commands", false));
  }

  /** Requests that waiting tasks are bound to workers; see {@link SchedulingRounds#request}. */
  public void requestRound() {
    rounds.request();
  }

  private List<FreeCapacity> schedulableCapacities(Instant now) {
    List<FreeCapacity> capacities = new ArrayList<>();
    for (WorkerSession session : sessions.values()) {
      boolean staysInPool =
          !evacuations.isCordoned(session.worker().id())
              && !hostMover.isMoving(session.worker().host());
      if (session.takesTasks(now) && staysInPool) {
        FreeCapacity freeCapacity =
            new FreeCapacity(
                session.worker(),
                hostMover.isBorrowed(session.worker()),
                context.failureTracker().failedTasks(session.worker().id()),
                session.orders().remainingStarts());
        context.jobRegistry().boundTo(session.worker().id()).forEach(freeCapacity::reserve);
        capacities.add(freeCapacity);
      }
    }
    return capacities;
  }

  private boolean isMoving(String host) {
    return hostMover.isMoving(host);
  }

  /** Returns whether a worker takes tasks, is not cordoned and has no binding in flight. */
  private boolean isUsable(Worker worker, Instant now) {
    WorkerSession session = sessions.get(worker.id());
    return session != null
        && session.takesTasks(now)
        && !evacuations.isCordoned(worker.id())
        && !rounds.isBeingBound(worker.id());
  }

  private boolean isStandbyPool(String pool) {
    return configuration.current().filter(current -> current.isStandby(pool)).isPresent();
  }

  /**
   * Forgets the worker of a host that was ordered down or moved, unless it answers: a repeated
   * order is answered with success too, when the host's next worker may run tasks already.
   */
  private void onWorkerEnded(String id) {
    roster.forgetUnlessAnswering(id, "its host went down or moved as ordered");
  }

  private List<Worker> usableWorkers(String pool, Instant now) {
    return sessions.values().stream()
        .map(WorkerSession::worker)
        .filter(worker -> worker.pool().equals(pool) && isUsable(worker, now))
        .toList();
  }

  private Optional<AdvicePolicy> advicePolicyOf(Job job) {
    return configuration.queues().queueWithAddress(job.queue()).flatMap(QueueRoute::advice);
  }

  /**
   * Returns the pool that runs a job's queue now, or the pool at the job's acceptance if the queue
   * was removed.
   */
  private String poolOf(Job job) {
    return configuration
        .queues()
        .queueWithAddress(job.queue())
        .map(QueueRoute::pool)
        .orElse(job.limits().pool());
  }
}
