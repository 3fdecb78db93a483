package org.verbenawheel.scheduling;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
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
  /**
   * Share of a pool that jobs without value leave to jobs that arrive while their tasks run: tasks
   * are not interrupted, so a full pool would make the next job late too.
   */
  private static final double SHARE_KEPT_FOR_TIMELY_JOBS = 0.25;

  /** Part of that share that overdue jobs leave, so that they end in a pool that is always busy. */
  private static final double OVERDUE_SHARE = 0.4;

  private final double shareKeptForTimelyJobs;
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
    this(poolOf, permittedWorkers, SHARE_KEPT_FOR_TIMELY_JOBS);
  }

  /** Creates a scheduler with another share of each pool that jobs without value leave free. */
  JobScheduler(
      Function<Job, String> poolOf,
      Function<Task, Predicate<Worker>> permittedWorkers,
      double shareKeptForTimelyJobs) {
    this.poolOf = poolOf;
    this.permittedWorkers = permittedWorkers;
    this.shareKeptForTimelyJobs = shareKeptForTimelyJobs;
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
    Map<String, PoolCapacity> capacityByPool = new HashMap<>();
    candidates.forEach(
        candidate ->
            capacityByPool
                .computeIfAbsent(candidate.worker().pool(), pool -> new PoolCapacity())
                .add(candidate));
    PoolCapacity noWorkers = new PoolCapacity();
    Round round = new Round(timeOfDayMilliseconds);
    jobs.stream()
        .filter(Job::hasWaitingTask)
        .map(job -> RankedJob.of(job, now, timeOfDayMilliseconds))
        .sorted(RankedJob.MOST_URGENT_FIRST)
        .forEach(
            ranked -> {
              String pool = poolOf.apply(ranked.job());
              long shortfallBefore = round.shortfallMillicores;
              PoolCapacity capacity = capacityByPool.getOrDefault(pool, noWorkers);
              if (ranked.status() != RankedJob.ObjectiveStatus.TOO_LATE
                  || capacity.hasFreeShare(shareKept(ranked, now))) {
                round.place(ranked.job(), capacity);
              }
              if (ranked.status() != RankedJob.ObjectiveStatus.TOO_LATE) {
                round.shortages.merge(pool, round.shortfallMillicores - shortfallBefore, Long::sum);
              }
            });
    return new SchedulingResult(round.starts.build(), ImmutableMap.copyOf(round.shortages));
  }

  private double shareKept(RankedJob tooLate, Instant now) {
    return tooLate.isOverdue(now) ? shareKeptForTimelyJobs * OVERDUE_SHARE : shareKeptForTimelyJobs;
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

    void place(Job job, PoolCapacity capacity) {
      JobSpecification specification = job.specification();
      for (int occurrence = 0; occurrence < specification.occurrences(); occurrence++) {
        if (!isDue(specification, occurrence)) {
          return;
        }
        for (int step = 0; step < specification.steps().size(); step++) {
          if (!job.isDone(occurrence, step) && job.isReady(occurrence, step)) {
            place(job.tasks(occurrence, step), specification.steps().get(step), capacity);
          }
        }
      }
    }

    private boolean isDue(JobSpecification job, int occurrence) {
      return !job.isTimed()
          || timeOfDayMilliseconds
              >= job.firstStartMilliseconds() + occurrence * job.intervalMilliseconds();
    }

    private void place(ImmutableList<Task> tasks, StepSpecification step, PoolCapacity capacity) {
      if (step.gang()) {
        placeGang(tasks, step, capacity);
        return;
      }
      List<Task> waiting =
          tasks.stream().filter(task -> task.phase() == Task.Phase.WAITING).toList();
      if (waiting.isEmpty()) {
        return;
      }
      Predicate<Worker> isPermitted = permittedWorkers.apply(waiting.get(0));
      for (int index = 0; index < waiting.size(); index++) {
        Task task = waiting.get(index);
        Optional<FreeCapacity> worker = capacity.bestWorker(task, isPermitted);
        if (worker.isEmpty()) {
          int left = waiting.size() - index;
          int placedLater = capacity.reserveForLater(task, left, isPermitted);
          if (placedLater < left) {
            recordShortage(task, left - placedLater, capacity);
          }
          return;
        }
        start(task, task.run() + 1, worker.get(), capacity);
      }
    }

    /**
     * Adds tasks of one step to the pool's shortage, unless more hosts would not help: no worker of
     * the pool could run them even when idle, since they are too large or its label is missing. In
     * a pool without workers every task counts.
     */
    private void recordShortage(Task task, int taskCount, PoolCapacity capacity) {
      if (capacity.couldRunWhenIdle(task)) {
        // Tasks that use only leftover processor time reserve none, but still need a worker.
        shortfallMillicores += (long) taskCount * Math.max(1, task.step().reservedMillicores());
      }
    }

    private void start(Task task, int run, FreeCapacity worker, PoolCapacity capacity) {
      capacity.reserve(worker, task);
      starts.add(new RunStart(task.id().text(), run, worker.worker().id()));
    }

    /** Starts all members of a gang or none, if possible on one rack when the step asks for it. */
    private void placeGang(
        ImmutableList<Task> members, StepSpecification step, PoolCapacity capacity) {
      if (members.stream().anyMatch(member -> member.phase() != Task.Phase.WAITING)) {
        return;
      }
      List<PoolCapacity> racks = step.singleRack() ? capacity.byRack() : List.of();
      boolean placed = racks.stream().anyMatch(rack -> placeAll(members, rack, capacity));
      if (!placed && !placeAll(members, capacity, capacity)) {
        recordShortage(members.get(0), members.size(), capacity);
      }
    }

    /**
     * Tries the placement on copies, so that a gang that does not fit takes no capacity.
     *
     * @param candidates the workers that the gang may use
     * @param capacity the pool that they belong to
     */
    private boolean placeAll(
        ImmutableList<Task> members, PoolCapacity candidates, PoolCapacity capacity) {
      int run = members.stream().mapToInt(Task::run).max().orElse(0) + 1;
      PoolCapacity.Trial trial = candidates.copy();
      List<FreeCapacity> chosen = new ArrayList<>();
      Predicate<Worker> isPermitted = permittedWorkers.apply(members.get(0));
      for (Task member : members) {
        Optional<FreeCapacity> worker = trial.capacity().bestWorker(member, isPermitted);
        if (worker.isEmpty()) {
          return false;
        }
        trial.capacity().reserve(worker.get(), member);
        chosen.add(worker.get());
      }
      for (int index = 0; index < members.size(); index++) {
        FreeCapacity original = trial.originals().get(chosen.get(index));
        if (original != null) {
          start(members.get(index), run, original, capacity);
        }
      }
      return true;
    }
  }
}
