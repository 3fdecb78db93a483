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

/** Holds the jobs that run, by worker and by the end of their leases. */
final class RunningJobs {
  /**
   * One run of a job.
   *
   * @param job the job
   * @param worker where it runs
   * @param granted what it may use
   * @param leaseUntil the end of its lease
   * @param mostUsed the most it was reported to use of each resource
   */
  record Run(
      Job job,
      HostName worker,
      Resources granted,
      Instant leaseUntil,
      Optional<Resources> mostUsed) {}

  private static final Comparator<Run> BY_LEASE =
      Comparator.comparing(Run::leaseUntil).thenComparing(run -> run.job().id());

  private final Map<JobId, Run> runs = new HashMap<>();
  private final Map<HostName, Map<JobId, Run>> runsByWorker = new HashMap<>();
  private final TreeSet<Run> runsByLease = new TreeSet<>(BY_LEASE);
  private final Set<JobId> leaving = new HashSet<>();
  private final Multiset<JobId> failures = HashMultiset.create();

  boolean contains(JobId id) {
    return runs.containsKey(id);
  }

  Optional<Run> find(JobId id) {
    return Optional.ofNullable(runs.get(id));
  }

  void add(Job job, HostName worker, Resources granted, Instant leaseUntil) {
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
    leaving.remove(id);
    Map<JobId, Run> onWorker = runsByWorker.get(run.worker());
    if (onWorker != null) {
      onWorker.remove(id);
    }
    return Optional.of(run);
  }

  void report(JobId id, Resources used, Instant leaseUntil) {
    remove(id)
        .ifPresent(
            run ->
                put(
                    new Run(
                        run.job(),
                        run.worker(),
                        run.granted(),
                        leaseUntil,
                        Optional.of(run.mostUsed().map(most -> most.largest(used)).orElse(used)))));
  }

  /** Counts a failed run and returns how many the job has had. */
  int countFailure(JobId id) {
    failures.add(id);
    return failures.count(id);
  }

  void forget(JobId id) {
    failures.setCount(id, 0);
  }

  ImmutableList<JobId> expired(Instant now) {
    return runsByLease.stream()
        .takeWhile(run -> !run.leaseUntil().isAfter(now))
        .map(run -> run.job().id())
        .collect(ImmutableList.toImmutableList());
  }

  boolean hasLeavingJobs(HostName worker) {
    return runsByWorker.getOrDefault(worker, Map.of()).keySet().stream()
        .anyMatch(leaving::contains);
  }

  /**
   * Returns checkpoints of interruptible jobs on the first worker where they make enough room. A
   * worker with jobs that are leaving already is passed over: that room is for another job. The
   * worker is held until all of them have left, so that smaller jobs do not take the first part.
   */
  ImmutableList<PlacementEffect> makeRoom(Workers workers, Resources demand) {
    for (HostName worker : workers.names()) {
      Optional<ImmutableList<JobId>> interrupted = jobsToInterrupt(workers, worker, demand);
      if (interrupted.isPresent()) {
        leaving.addAll(interrupted.get());
        workers.hold(worker);
        return interrupted.get().stream()
            .map(id -> new PlacementEffect.Checkpoint(id, worker))
            .collect(ImmutableList.toImmutableList());
      }
    }
    return ImmutableList.of();
  }

  private Optional<ImmutableList<JobId>> jobsToInterrupt(
      Workers workers, HostName worker, Resources demand) {
    Map<JobId, Run> onWorker = runsByWorker.getOrDefault(worker, Map.of());
    if (!workers.takesJobs(worker)) {
      return Optional.empty();
    }
    ImmutableList.Builder<JobId> interrupted = ImmutableList.builder();
    Resources room = workers.free(worker);
    for (Run run : onWorker.values()) {
      if (!room.holds(demand) && run.job().urgency() == Urgency.INTERRUPTIBLE) {
        room = room.plus(run.granted());
        interrupted.add(run.job().id());
      }
    }
    return room.holds(demand) ? Optional.of(interrupted.build()) : Optional.empty();
  }
}
