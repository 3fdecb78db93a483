package org.verbenawheel.placement;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.Multiset;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.verbenawheel.identity.HostName;
import org.verbenawheel.identity.JobId;
import org.verbenawheel.platform.Resources;

/** Holds the running jobs, indexed by worker and by the end of their leases. */
final class RunningJobs {
  /**
   * One run of a job.
   *
   * @param job the job
   * @param worker the worker that it runs on
   * @param granted the resources that it may use
   * @param leaseUntil the end of its lease
   * @param peakUsage the highest reported usage of each resource; empty before the first report
   */
  record Run(
      PlacementJob job,
      HostName worker,
      Resources granted,
      Instant leaseUntil,
      Optional<Resources> peakUsage) {}

  private static final Comparator<Run> BY_LEASE =
      Comparator.comparing(Run::leaseUntil).thenComparing(run -> run.job().id());

  private final Map<JobId, Run> runs = new HashMap<>();
  private final Map<HostName, Map<JobId, Run>> runsByWorker = new HashMap<>();
  private final TreeSet<Run> runsByLease = new TreeSet<>(BY_LEASE);
  private final Set<JobId> interrupted = new HashSet<>();
  private final Multiset<JobId> failures = HashMultiset.create();

  boolean contains(JobId id) {
    return runs.containsKey(id);
  }

  Optional<Run> find(JobId id) {
    return Optional.ofNullable(runs.get(id));
  }

  void add(PlacementJob job, HostName worker, Resources granted, Instant leaseUntil) {
    put(new Run(job, worker, granted, leaseUntil, Optional.empty()));
  }

  private void put(Run run) {
    runs.put(run.job().id(), run);
    runsByLease.add(run);
    runsByWorker
        .computeIfAbsent(run.worker(), unused -> new LinkedHashMap<>())
        .put(run.job().id(), run);
  }

  Optional<Run> remove(JobId id) {
    Run run = runs.remove(id);
    if (run == null) {
      return Optional.empty();
    }
    runsByLease.remove(run);
    interrupted.remove(id);
    Map<JobId, Run> onWorker = runsByWorker.get(run.worker());
    if (onWorker != null) {
      onWorker.remove(id);
    }
    return Optional.of(run);
  }

  /** Renews the lease of a run and adds the reported usage to its peak. */
  void renewLease(JobId id, Resources used, Instant leaseUntil) {
    remove(id)
        .ifPresent(
            run ->
                put(
                    new Run(
                        run.job(),
                        run.worker(),
                        run.granted(),
                        leaseUntil,
                        Optional.of(
                            run.peakUsage().map(peak -> peak.largest(used)).orElse(used)))));
  }

  /** Counts a failed run and returns how many the job has had. */
  int countFailure(JobId id) {
    failures.add(id);
    return failures.count(id);
  }

  void clearFailures(JobId id) {
    failures.setCount(id, 0);
  }

  ImmutableList<JobId> expired(Instant now) {
    return runsByLease.stream()
        .takeWhile(run -> !run.leaseUntil().isAfter(now))
        .map(run -> run.job().id())
        .collect(ImmutableList.toImmutableList());
  }

  boolean hasInterruptedJobs(HostName worker) {
    return runsByWorker.getOrDefault(worker, Map.of()).keySet().stream()
        .anyMatch(interrupted::contains);
  }

  /**
   * Returns checkpoints of interruptible jobs on the first worker where stopping them frees enough
   * for the demand. Workers whose jobs are being interrupted already are skipped, since what these
   * free is meant for another job. The chosen worker is reserved until all interrupted jobs have
   * ended, so smaller jobs can't take what the first of them frees.
   */
  ImmutableList<PlacementEffect> interruptFor(Workers workers, Resources demand) {
    for (HostName worker : workers.names()) {
      Optional<ImmutableList<JobId>> chosen = jobsToInterrupt(workers, worker, demand);
      if (chosen.isPresent()) {
        interrupted.addAll(chosen.get());
        workers.reserve(worker);
        return chosen.get().stream()
            .map(id -> new PlacementEffect.Checkpoint(id, worker))
            .collect(ImmutableList.toImmutableList());
      }
    }
    return ImmutableList.of();
  }

  private Optional<ImmutableList<JobId>> jobsToInterrupt(
      Workers workers, HostName worker, Resources demand) {
    Map<JobId, Run> onWorker = runsByWorker.getOrDefault(worker, Map.of());
    if (!workers.acceptsJobs(worker)) {
      return Optional.empty();
    }
    ImmutableList.Builder<JobId> chosen = ImmutableList.builder();
    Resources available = workers.free(worker);
    for (Run run : onWorker.values()) {
      if (!available.holds(demand) && run.job().urgency() == Urgency.INTERRUPTIBLE) {
        available = available.plus(run.granted());
        chosen.add(run.job().id());
      }
    }
    return available.holds(demand) ? Optional.of(chosen.build()) : Optional.empty();
  }
}
