package org.verbenawheel.placement;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.verbenawheel.decision.Decision;
import org.verbenawheel.decision.DecisionJournal;
import org.verbenawheel.identity.HostName;
import org.verbenawheel.identity.JobId;
import org.verbenawheel.identity.TeamName;
import org.verbenawheel.platform.Resources;

/**
 * Decides which workers of one pool run which jobs. Does no I/O and reads no clock: each call takes
 * an event and the present time and returns the effects to carry out. Not thread-safe.
 *
 * <p>Of the jobs that fit, the most urgent starts first; of equally urgent ones, the one that has
 * waited longest. A job that does not fit now does not block others that do. A job that can never
 * run is refused at once.
 */
public final class PlacementDecider {
  /** How long a worker may run a job after the start or its last usage report. */
  public static final Duration LEASE = Duration.ofSeconds(60);

  private static final int MAXIMUM_ATTEMPTS = 3;
  private static final String TOPIC = "placement";

  private final Workers workers;
  private final RunningJobs running = new RunningJobs();
  private final JobQueue queue = new JobQueue();
  private final UsageEstimator usageEstimator = new UsageEstimator();
  private final TeamQuotas quotas;
  private final DecisionJournal journal;

  /**
   * Creates a decider without jobs.
   *
   * @param workers the pool's workers and the resources that each offers
   * @param quotas the resources that each team may use in total; a team without an entry has no
   *     limit
   * @param journal records each refusal, quarantine and interruption
   */
  public PlacementDecider(
      ImmutableMap<HostName, Resources> workers,
      ImmutableMap<TeamName, Resources> quotas,
      DecisionJournal journal) {
    this.workers = new Workers(workers);
    this.quotas = new TeamQuotas(quotas);
    this.journal = journal;
  }

  /**
   * Submits a job: it starts, waits or is refused. If it is urgent and does not fit, interruptible
   * jobs may be checkpointed for it.
   *
   * @param job the job
   * @param now the present time
   */
  public ImmutableList<PlacementEffect> submit(PlacementJob job, Instant now) {
    if (queue.contains(job.id()) || running.contains(job.id())) {
      return refuse(
          job,
          PlacementRefusalReason.DUPLICATE,
          "a job with this id waits or runs already: no need to submit it again",
          now);
    }
    return startQueueOrRefuse(job, now);
  }

  private ImmutableList<PlacementEffect> startQueueOrRefuse(PlacementJob job, Instant now) {
    Resources demand = estimateDemand(job);
    if (!workers.fitsAnyEmptyWorker(demand)) {
      return refuse(
          job,
          PlacementRefusalReason.LARGER_THAN_ANY_WORKER,
          "no worker offers " + demand + ": ask for less, or move a larger host into the pool",
          now);
    }
    if (!quotas.fitsWholeQuota(job.team(), demand)) {
      return refuse(
          job,
          PlacementRefusalReason.LARGER_THAN_QUOTA,
          demand
              + " is more than the whole quota of team "
              + job.team()
              + ": ask for less or raise the quota",
          now);
    }
    Optional<HostName> worker =
        quotas.fitsFreeQuota(job.team(), demand) ? workers.firstWithFree(demand) : Optional.empty();
    if (worker.isPresent()) {
      return ImmutableList.of(start(job, demand, worker.get(), now));
    }
    queue.add(job, demand);
    return job.urgency() == Urgency.URGENT && quotas.fitsFreeQuota(job.team(), demand)
        ? interruptFor(job, demand, now)
        : ImmutableList.of();
  }

  /**
   * Returns the learned demand, or the declared one if a job of the learned size could never run.
   * What was learned thus never makes a job too large that is not so by its declaration.
   */
  private Resources estimateDemand(PlacementJob job) {
    Resources learned = usageEstimator.estimate(job.profile(), job.declared());
    boolean couldRun =
        workers.fitsAnyEmptyWorker(learned) && quotas.fitsWholeQuota(job.team(), learned);
    return couldRun ? learned : job.declared();
  }

  /**
   * Cancels a waiting or running job. The cost does not grow with the number of jobs that wait.
   *
   * @param id the job
   * @return a stop if the job runs; the caller then reports its end to {@link #runEnded}
   */
  public ImmutableList<PlacementEffect> cancel(JobId id) {
    if (queue.remove(id)) {
      return ImmutableList.of();
    }
    return running
        .find(id)
        .<ImmutableList<PlacementEffect>>map(
            job -> ImmutableList.of(new PlacementEffect.Stop(id, job.worker())))
        .orElse(ImmutableList.of());
  }

  /**
   * Handles a worker's report of a job's usage, which may come late. It renews the job's lease.
   *
   * @param id the job
   * @param used the resources that the job used
   * @param now the present time
   */
  public void reportUsage(JobId id, Resources used, Instant now) {
    running.renewLease(id, used, now.plus(LEASE));
  }

  /**
   * Handles the end of a job's run and starts waiting jobs that fit in its place.
   *
   * @param id the job
   * @param end how the run ended
   * @param now the present time
   */
  public ImmutableList<PlacementEffect> runEnded(JobId id, RunOutcome end, Instant now) {
    Optional<RunningJobs.Run> found = running.remove(id);
    if (found.isEmpty()) {
      return ImmutableList.of();
    }
    RunningJobs.Run run = found.get();
    workers.release(run.worker(), run.granted());
    quotas.release(run.job().team(), run.granted());
    if (!running.hasInterruptedJobs(run.worker())) {
      workers.endReservation(run.worker());
    }
    List<PlacementEffect> effects = new ArrayList<>(handleEnd(run, end, now));
    effects.addAll(startWaitingOnWorker(run.worker(), now));
    effects.addAll(startWaitingOfTeam(run.job().team(), now));
    return ImmutableList.copyOf(effects);
  }

  private ImmutableList<PlacementEffect> handleEnd(
      RunningJobs.Run run, RunOutcome end, Instant now) {
    PlacementJob job = run.job();
    if (end == RunOutcome.LEASE_EXPIRED) {
      workers.cordon(run.worker());
    }
    if (end == RunOutcome.DONE) {
      workers.recordSuccess(run.worker());
      running.clearFailures(job.id());
      run.peakUsage().ifPresent(peak -> usageEstimator.addPeak(job.profile(), peak));
      return ImmutableList.of();
    }
    if (end == RunOutcome.FAILED && workers.recordFailure(run.worker(), job.id(), now)) {
      recordDecision(
          run.worker().toString(), "quarantine", "different jobs failed on it in a row", now);
    }
    if (end == RunOutcome.FAILED && running.countFailure(job.id()) >= MAXIMUM_ATTEMPTS) {
      return refuse(
          job,
          PlacementRefusalReason.FAILS_EVERYWHERE,
          "it failed " + MAXIMUM_ATTEMPTS + " times: see the log of the job itself",
          now);
    }
    if (end.runsAgain()) {
      queue.add(job, estimateDemand(job));
    }
    return ImmutableList.of();
  }

  /**
   * Ends the runs whose lease has expired, and releases workers whose quarantine is over.
   *
   * @param now the present time
   */
  public ImmutableList<PlacementEffect> tick(Instant now) {
    List<PlacementEffect> effects = new ArrayList<>();
    for (JobId expired : running.expired(now)) {
      effects.addAll(runEnded(expired, RunOutcome.LEASE_EXPIRED, now));
    }
    for (HostName worker : workers.releaseFromQuarantine(now)) {
      effects.addAll(startWaitingOnWorker(worker, now));
    }
    return ImmutableList.copyOf(effects);
  }

  /**
   * Excludes a worker from new jobs, because it drains, is lost or does not report.
   *
   * @param worker the worker
   */
  public void cordon(HostName worker) {
    workers.cordon(worker);
  }

  /**
   * Lets a cordoned worker receive jobs again, and starts waiting jobs on it.
   *
   * @param worker the worker
   * @param now the present time
   */
  public ImmutableList<PlacementEffect> uncordon(HostName worker, Instant now) {
    workers.uncordon(worker);
    return ImmutableList.copyOf(startWaitingOnWorker(worker, now));
  }

  /** Returns how many jobs wait. */
  public int waiting() {
    return queue.size();
  }

  private List<PlacementEffect> startWaitingOnWorker(HostName worker, Instant now) {
    List<PlacementEffect> effects = new ArrayList<>();
    Optional<PlacementJob> next = nextForWorker(worker);
    while (next.isPresent()) {
      effects.add(startWaiting(next.get(), worker, now));
      next = nextForWorker(worker);
    }
    return effects;
  }

  private Optional<PlacementJob> nextForWorker(HostName worker) {
    Resources free = workers.free(worker);
    return queue.findFirst(
        group -> free.holds(group.demand()) && quotas.fitsFreeQuota(group.team(), group.demand()));
  }

  /**
   * Starts waiting jobs of a team whose quota has free resources again; they may fit on workers
   * other than the one where a run ended.
   */
  private List<PlacementEffect> startWaitingOfTeam(TeamName team, Instant now) {
    List<PlacementEffect> effects = new ArrayList<>();
    Optional<PlacementJob> next = nextOfTeam(team);
    while (next.isPresent()) {
      HostName worker = workers.firstWithFree(queue.demandOf(next.get())).orElseThrow();
      effects.add(startWaiting(next.get(), worker, now));
      next = nextOfTeam(team);
    }
    return effects;
  }

  private Optional<PlacementJob> nextOfTeam(TeamName team) {
    return queue.findFirst(
        group ->
            group.team().equals(team)
                && quotas.fitsFreeQuota(team, group.demand())
                && workers.firstWithFree(group.demand()).isPresent());
  }

  private PlacementEffect startWaiting(PlacementJob job, HostName worker, Instant now) {
    Resources demand = queue.demandOf(job);
    queue.remove(job.id());
    return start(job, demand, worker, now);
  }

  private PlacementEffect start(PlacementJob job, Resources demand, HostName worker, Instant now) {
    workers.grant(worker, demand);
    quotas.grant(job.team(), demand);
    Instant leaseUntil = now.plus(LEASE);
    running.add(job, worker, demand, leaseUntil);
    return new PlacementEffect.Start(job.id(), worker, demand, leaseUntil);
  }

  private ImmutableList<PlacementEffect> interruptFor(
      PlacementJob job, Resources demand, Instant now) {
    ImmutableList<PlacementEffect> checkpoints = running.interruptFor(workers, demand);
    if (!checkpoints.isEmpty()) {
      recordDecision(
          job.id().toString(),
          "interrupt",
          checkpoints.size() + " interruptible jobs are checkpointed for it",
          now);
    }
    return checkpoints;
  }

  private ImmutableList<PlacementEffect> refuse(
      PlacementJob job, PlacementRefusalReason reason, String message, Instant now) {
    recordDecision(job.id().toString(), reason.name(), message, now);
    return ImmutableList.of(new PlacementEffect.Refuse(job.id(), reason, message));
  }

  private void recordDecision(String subject, String outcome, String reason, Instant now) {
    journal.add(new Decision(now, TOPIC, subject, outcome, reason, ImmutableMap.of()));
  }
}
