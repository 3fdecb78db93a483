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
 * Decides where the jobs of one pool run. Does no I/O; each call takes an event and the moment and
 * returns what to do. Not safe for use by many threads.
 *
 * <p>The most urgent job that fits goes first, then the one that waits longest. A job that does not
 * fit now blocks none that does; one that can never run is refused at once.
 */
public final class PlacementDecider {
  /** How long a worker may run a job without a report. */
  public static final Duration LEASE = Duration.ofSeconds(60);

  private static final int ATTEMPTS = 3;
  private static final String TOPIC = "placement";

  private final Workers workers;
  private final RunningJobs running = new RunningJobs();
  private final JobQueue queue = new JobQueue();
  private final SizeLearner sizes = new SizeLearner();
  private final TeamQuotas quotas;
  private final DecisionJournal journal;

  /**
   * Makes a decider without jobs.
   *
   * @param workers the pool's workers and what each offers
   * @param quotas what each team may use in all; a team that is not here has no bound
   * @param journal takes each refusal, quarantine and interruption
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
   * Takes a job.
   *
   * @param job the job
   * @param now the present moment
   */
  public ImmutableList<PlacementEffect> submit(Job job, Instant now) {
    if (queue.contains(job.id()) || running.contains(job.id())) {
      return refuse(job, PlacementRefusalReason.DUPLICATE, "the job is known: nothing to do", now);
    }
    return admit(job, now);
  }

  private ImmutableList<PlacementEffect> admit(Job job, Instant now) {
    Resources demand = demandOf(job);
    if (!workers.couldEverHold(demand)) {
      return refuse(
          job,
          PlacementRefusalReason.LARGER_THAN_ANY_WORKER,
          "no worker offers " + demand + " at once: ask for less, or move a larger host in",
          now);
    }
    if (!quotas.couldEverHold(job.team(), demand)) {
      return refuse(
          job,
          PlacementRefusalReason.LARGER_THAN_QUOTA,
          demand + " is more than the quota of team " + job.team() + ": ask for less or raise it",
          now);
    }
    Optional<HostName> worker =
        quotas.holds(job.team(), demand) ? workers.firstThatHolds(demand) : Optional.empty();
    if (worker.isPresent()) {
      return ImmutableList.of(start(job, demand, worker.get(), now));
    }
    queue.add(job, demand);
    return job.urgency() == Urgency.URGENT && quotas.holds(job.team(), demand)
        ? makeRoom(job, demand, now)
        : ImmutableList.of();
  }

  /** What was learned never makes a job too large to run that is not so by its declaration. */
  private Resources demandOf(Job job) {
    Resources learned = sizes.estimate(job.profile(), job.declared());
    boolean couldRun = workers.couldEverHold(learned) && quotas.couldEverHold(job.team(), learned);
    return couldRun ? learned : job.declared();
  }

  /**
   * Cancels a job, waiting or running. Costs the same however many jobs wait.
   *
   * @param id the job
   * @return a stop if it runs; its end is reported as {@link #ended}
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
   * Takes a worker's late report of what a job uses; it renews the lease.
   *
   * @param id the job
   * @param used what it used
   * @param now the present moment
   */
  public void used(JobId id, Resources used, Instant now) {
    running.report(id, used, now.plus(LEASE));
  }

  /**
   * Takes the end of a job's run and starts what fits in its place.
   *
   * @param id the job
   * @param end how it ended
   * @param now the present moment
   */
  public ImmutableList<PlacementEffect> ended(JobId id, RunEnd end, Instant now) {
    Optional<RunningJobs.Run> found = running.remove(id);
    if (found.isEmpty()) {
      return ImmutableList.of();
    }
    RunningJobs.Run run = found.get();
    workers.giveBack(run.worker(), run.granted());
    quotas.giveBack(run.job().team(), run.granted());
    if (!running.hasLeavingJobs(run.worker())) {
      workers.letGo(run.worker());
    }
    List<PlacementEffect> effects = new ArrayList<>(afterRun(run, end, now));
    effects.addAll(fill(run.worker(), now));
    effects.addAll(startWaiting(run.job().team(), now));
    return ImmutableList.copyOf(effects);
  }

  private ImmutableList<PlacementEffect> afterRun(RunningJobs.Run run, RunEnd end, Instant now) {
    Job job = run.job();
    if (end == RunEnd.LEASE_EXPIRED) {
      workers.leave(run.worker());
    }
    if (end == RunEnd.DONE) {
      workers.succeeded(run.worker());
      running.forget(job.id());
      run.mostUsed().ifPresent(most -> sizes.add(job.profile(), most));
      return ImmutableList.of();
    }
    if (end == RunEnd.FAILED && workers.failed(run.worker(), job.id(), now)) {
      note(run.worker().toString(), "quarantine", "every job failed on it", now);
    }
    if (end == RunEnd.FAILED && running.countFailure(job.id()) >= ATTEMPTS) {
      return refuse(
          job,
          PlacementRefusalReason.FAILS_EVERYWHERE,
          "it failed " + ATTEMPTS + " times: look at its own log",
          now);
    }
    if (end.runsAgain()) {
      queue.add(job, demandOf(job));
    }
    return ImmutableList.of();
  }

  /**
   * Ends the leases of silent workers' jobs and lets quarantined workers back.
   *
   * @param now the present moment
   */
  public ImmutableList<PlacementEffect> tick(Instant now) {
    List<PlacementEffect> effects = new ArrayList<>();
    for (JobId expired : running.expired(now)) {
      effects.addAll(ended(expired, RunEnd.LEASE_EXPIRED, now));
    }
    for (HostName worker : workers.releaseFromQuarantine(now)) {
      effects.addAll(fill(worker, now));
    }
    return ImmutableList.copyOf(effects);
  }

  /**
   * Gives a worker no new jobs: it drains, is lost or does not report.
   *
   * @param worker the worker
   */
  public void workerLeaves(HostName worker) {
    workers.leave(worker);
  }

  /**
   * Gives a worker jobs again.
   *
   * @param worker the worker
   * @param now the present moment
   */
  public ImmutableList<PlacementEffect> workerReturns(HostName worker, Instant now) {
    workers.comeBack(worker);
    return ImmutableList.copyOf(fill(worker, now));
  }

  /** Returns how many jobs wait. */
  public int waiting() {
    return queue.size();
  }

  private List<PlacementEffect> fill(HostName worker, Instant now) {
    List<PlacementEffect> effects = new ArrayList<>();
    Optional<Job> next = nextFor(worker);
    while (next.isPresent()) {
      effects.add(startWaiting(next.get(), worker, now));
      next = nextFor(worker);
    }
    return effects;
  }

  private Optional<Job> nextFor(HostName worker) {
    Resources free = workers.free(worker);
    return queue.first(
        group -> free.holds(group.demand()) && quotas.holds(group.team(), group.demand()));
  }

  /** A team whose quota has room again may have jobs that fit on other workers. */
  private List<PlacementEffect> startWaiting(TeamName team, Instant now) {
    List<PlacementEffect> effects = new ArrayList<>();
    Optional<Job> next = nextOf(team);
    while (next.isPresent()) {
      HostName worker = workers.firstThatHolds(queue.demand(next.get())).orElseThrow();
      effects.add(startWaiting(next.get(), worker, now));
      next = nextOf(team);
    }
    return effects;
  }

  private Optional<Job> nextOf(TeamName team) {
    return queue.first(
        group ->
            group.team().equals(team)
                && quotas.holds(team, group.demand())
                && workers.firstThatHolds(group.demand()).isPresent());
  }

  private PlacementEffect startWaiting(Job job, HostName worker, Instant now) {
    Resources demand = queue.demand(job);
    queue.remove(job.id());
    return start(job, demand, worker, now);
  }

  private PlacementEffect start(Job job, Resources demand, HostName worker, Instant now) {
    workers.grant(worker, demand);
    quotas.grant(job.team(), demand);
    Instant leaseUntil = now.plus(LEASE);
    running.add(job, worker, demand, leaseUntil);
    return new PlacementEffect.Start(job.id(), worker, demand, leaseUntil);
  }

  private ImmutableList<PlacementEffect> makeRoom(Job job, Resources demand, Instant now) {
    ImmutableList<PlacementEffect> checkpoints = running.makeRoom(workers, demand);
    if (!checkpoints.isEmpty()) {
      note(job.id().toString(), "interrupt", checkpoints.size() + " jobs make room", now);
    }
    return checkpoints;
  }

  private ImmutableList<PlacementEffect> refuse(
      Job job, PlacementRefusalReason reason, String message, Instant now) {
    note(job.id().toString(), reason.name(), message, now);
    return ImmutableList.of(new PlacementEffect.Refuse(job.id(), reason, message));
  }

  private void note(String subject, String outcome, String reason, Instant now) {
    journal.add(new Decision(now, TOPIC, subject, outcome, reason, ImmutableMap.of()));
  }
}
