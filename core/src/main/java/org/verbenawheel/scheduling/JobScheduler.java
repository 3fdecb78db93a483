package org.verbenawheel.scheduling;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Predicate;
import org.verbenawheel.job.Job;
import org.verbenawheel.job.JobCommands.RunStart;
import org.verbenawheel.job.JobSpecification;
import org.verbenawheel.job.StepSpecification;
import org.verbenawheel.job.Task;
import org.verbenawheel.worker.Worker;

/**
 * Decides which waiting tasks start now, and on which workers. Does no I/O and reads no clock; the
 * leader calls it on the state thread and commits the result before it sends anything.
 */
public final class JobScheduler {
  private final Function<Job, String> poolOf;
  private final Function<Task, Predicate<Worker>> permittedWorkers;

  /**
   * Creates a scheduler.
   *
   * @param poolOf returns the pool whose workers may run a job now
   * @param permittedWorkers returns which workers the policy of the job's queue lets run a task;
   *     called once a step, so the tasks of a step must have the same ones
   */
  public JobScheduler(
      Function<Job, String> poolOf, Function<Task, Predicate<Worker>> permittedWorkers) {
    this.poolOf = poolOf;
    this.permittedWorkers = permittedWorkers;
  }

  /**
   * Assigns waiting tasks to workers, the most urgent job first, and subtracts what they need from
   * the free capacity.
   *
   * @param jobs the jobs that have not ended
   * @param candidates the free capacity of each worker that accepts tasks; updated by this call
   * @param now the present time, comparable to the jobs' acceptance times
   * @param timeOfDayMilliseconds the present time in milliseconds since 1970, comparable to the
   *     start times of occurrences
   * @return the runs to start, and the processor time that was missing
   */
  public SchedulingResult decide(
      Collection<Job> jobs,
      List<FreeCapacity> candidates,
      Instant now,
      long timeOfDayMilliseconds) {
    Map<String, List<FreeCapacity>> candidatesByPool = new HashMap<>();
    candidates.forEach(
        candidate ->
            candidatesByPool
                .computeIfAbsent(candidate.worker().pool(), pool -> new ArrayList<>())
                .add(candidate));
    Round round = new Round(timeOfDayMilliseconds);
    jobs.stream()
        .filter(Job::hasWaitingTask)
        .map(job -> RankedJob.of(job, now, timeOfDayMilliseconds))
        .sorted(RankedJob.MOST_URGENT_FIRST)
        .forEach(
            ranked -> {
              String pool = poolOf.apply(ranked.job());
              long shortfallBefore = round.shortfallMillicores;
              round.place(ranked.job(), candidatesByPool.getOrDefault(pool, List.of()));
              if (ranked.status() != RankedJob.ObjectiveStatus.TOO_LATE) {
                round.shortages.merge(pool, round.shortfallMillicores - shortfallBefore, Long::sum);
              }
            });
    return new SchedulingResult(round.starts.build(), ImmutableMap.copyOf(round.shortages));
  }

  private static Optional<FreeCapacity> bestWorker(
      Task task, List<FreeCapacity> candidates, Predicate<Worker> isPermitted) {
    return candidates.stream()
        .filter(candidate -> candidate.canRun(task) && isPermitted.test(candidate.worker()))
        .max(Comparator.comparingLong(candidate -> candidate.preferenceFor(task)));
  }

  /** Collects the starts and the shortages of one call of {@link #decide}. */
  private final class Round {
    private final long timeOfDayMilliseconds;
    private final ImmutableList.Builder<RunStart> starts = ImmutableList.builder();
    private final Map<String, Long> shortages = new HashMap<>();
    private long shortfallMillicores;

    Round(long timeOfDayMilliseconds) {
      this.timeOfDayMilliseconds = timeOfDayMilliseconds;
    }

    void place(Job job, List<FreeCapacity> candidates) {
      JobSpecification specification = job.specification();
      for (int occurrence = 0; occurrence < specification.occurrences(); occurrence++) {
        if (!isDue(specification, occurrence)) {
          return;
        }
        for (int step = 0; step < specification.steps().size(); step++) {
          if (!job.isDone(occurrence, step) && job.isReady(occurrence, step)) {
            place(job.tasks(occurrence, step), specification.steps().get(step), candidates);
          }
        }
      }
    }

    private boolean isDue(JobSpecification job, int occurrence) {
      return !job.isTimed()
          || timeOfDayMilliseconds
              >= job.firstStartMilliseconds() + occurrence * job.intervalMilliseconds();
    }

    private void place(
        ImmutableList<Task> tasks, StepSpecification step, List<FreeCapacity> candidates) {
      if (step.gang()) {
        placeGang(tasks, step, candidates);
        return;
      }
      Predicate<Worker> isPermitted = permittedWorkers.apply(tasks.get(0));
      boolean noWorkerFits = false;
      for (Task task : tasks) {
        if (task.phase() != Task.Phase.WAITING) {
          continue;
        }
        Optional<FreeCapacity> candidate =
            noWorkerFits ? Optional.empty() : bestWorker(task, candidates, isPermitted);
        if (candidate.isPresent()) {
          start(task, task.run() + 1, candidate.get());
        } else {
          noWorkerFits = true;
          recordShortage(task, candidates);
        }
      }
    }

    /**
     * Adds a task to the pool's shortage, unless more hosts would not help: no worker of the pool
     * could run it even when idle, since it is too large or its label is missing. In a pool without
     * workers every task counts.
     */
    private void recordShortage(Task task, List<FreeCapacity> candidates) {
      if (candidates.isEmpty()
          || candidates.stream().anyMatch(candidate -> candidate.couldRunWhenIdle(task))) {
        // Tasks that use only leftover processor time reserve none, but still need a worker.
        shortfallMillicores += Math.max(1, task.step().reservedMillicores());
      }
    }

    private void start(Task task, int run, FreeCapacity candidate) {
      candidate.reserve(task);
      starts.add(new RunStart(task.id().text(), run, candidate.worker().id()));
    }

    /** Starts all members of a gang or none, if possible on one rack when the step asks for it. */
    private void placeGang(
        ImmutableList<Task> members, StepSpecification step, List<FreeCapacity> candidates) {
      if (members.stream().anyMatch(member -> member.phase() != Task.Phase.WAITING)) {
        return;
      }
      Map<String, List<FreeCapacity>> racks = new LinkedHashMap<>();
      if (step.singleRack()) {
        candidates.forEach(
            candidate ->
                racks
                    .computeIfAbsent(candidate.worker().rack(), rack -> new ArrayList<>())
                    .add(candidate));
      }
      boolean placed = racks.values().stream().anyMatch(rack -> placeAll(members, rack));
      if (!placed && !placeAll(members, candidates)) {
        members.forEach(member -> recordShortage(member, candidates));
      }
    }

    /** Tries the placement on copies, so that a gang that does not fit takes no capacity. */
    private boolean placeAll(ImmutableList<Task> members, List<FreeCapacity> candidates) {
      int run = members.stream().mapToInt(Task::run).max().orElse(0) + 1;
      Map<FreeCapacity, FreeCapacity> originals = new LinkedHashMap<>();
      candidates.forEach(candidate -> originals.put(candidate.copy(), candidate));
      List<FreeCapacity> copies = new ArrayList<>(originals.keySet());
      List<FreeCapacity> chosen = new ArrayList<>();
      Predicate<Worker> isPermitted = permittedWorkers.apply(members.get(0));
      for (Task member : members) {
        Optional<FreeCapacity> candidate = bestWorker(member, copies, isPermitted);
        if (candidate.isEmpty()) {
          return false;
        }
        candidate.get().reserve(member);
        chosen.add(candidate.get());
      }
      for (int index = 0; index < members.size(); index++) {
        FreeCapacity original = originals.get(chosen.get(index));
        if (original != null) {
          start(members.get(index), run, original);
        }
      }
      return true;
    }
  }
}
