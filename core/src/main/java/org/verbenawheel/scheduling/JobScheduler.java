package org.verbenawheel.scheduling;

import com.google.common.collect.ImmutableList;
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
import org.verbenawheel.job.Job;
import org.verbenawheel.job.JobCommands.RunStart;
import org.verbenawheel.job.JobSpecification;
import org.verbenawheel.job.StepSpecification;
import org.verbenawheel.job.Task;

/** Decides which waiting tasks start now, and where. Makes no calls and reads no clock. */
public final class JobScheduler {
  private final Function<Job, String> poolOf;

  /**
   * Makes a scheduler.
   *
   * @param poolOf tells the pool whose workers may run a job now
   */
  public JobScheduler(Function<Job, String> poolOf) {
    this.poolOf = poolOf;
  }

  /**
   * Chooses tasks and workers, and takes their room.
   *
   * @param jobs the jobs that have not ended
   * @param rooms what is free on the workers that take tasks
   * @param now the present moment
   * @param timeOfDayMilliseconds the time of day, for occurrences that are due at one
   * @return the runs to start
   */
  public ImmutableList<RunStart> decide(
      Collection<Job> jobs, List<WorkerRoom> rooms, Instant now, long timeOfDayMilliseconds) {
    Map<String, List<WorkerRoom>> roomsOfPool = new HashMap<>();
    rooms.forEach(
        room ->
            roomsOfPool.computeIfAbsent(room.worker().pool(), pool -> new ArrayList<>()).add(room));
    ImmutableList.Builder<RunStart> starts = ImmutableList.builder();
    jobs.stream()
        .filter(JobScheduler::hasWaitingTask)
        .map(job -> JobOrder.of(job, now))
        .sorted(JobOrder.MOST_URGENT_FIRST)
        .forEach(
            order -> {
              Job job = order.job();
              List<WorkerRoom> eligible = roomsOfPool.getOrDefault(poolOf.apply(job), List.of());
              if (!eligible.isEmpty()) {
                place(job, eligible, timeOfDayMilliseconds, starts);
              }
            });
    return starts.build();
  }

  private static boolean hasWaitingTask(Job job) {
    return job.boundTasks() < job.unfinishedTasks();
  }

  private static void place(
      Job job,
      List<WorkerRoom> rooms,
      long timeOfDayMilliseconds,
      ImmutableList.Builder<RunStart> starts) {
    JobSpecification specification = job.specification();
    for (int occurrence = 0; occurrence < specification.occurrences(); occurrence++) {
      if (!isDue(specification, occurrence, timeOfDayMilliseconds)) {
        return;
      }
      for (int step = 0; step < specification.steps().size(); step++) {
        if (!job.isDone(occurrence, step) && job.isReady(occurrence, step)) {
          place(job.tasks(occurrence, step), specification.steps().get(step), rooms, starts);
        }
      }
    }
  }

  private static boolean isDue(JobSpecification job, int occurrence, long timeOfDayMilliseconds) {
    return !job.isTimed()
        || timeOfDayMilliseconds
            >= job.firstStartMilliseconds() + occurrence * job.intervalMilliseconds();
  }

  private static void place(
      ImmutableList<Task> tasks,
      StepSpecification step,
      List<WorkerRoom> rooms,
      ImmutableList.Builder<RunStart> starts) {
    if (step.gang()) {
      placeGang(tasks, step, rooms, starts);
      return;
    }
    for (Task task : tasks) {
      if (task.phase() != Task.Phase.WAITING) {
        continue;
      }
      Optional<WorkerRoom> room = best(task, rooms);
      if (room.isEmpty()) {
        return;
      }
      starts.add(start(task, task.run() + 1, room.get()));
    }
  }

  private static RunStart start(Task task, int run, WorkerRoom room) {
    room.take(task);
    return new RunStart(task.id().text(), run, room.worker().id());
  }

  private static Optional<WorkerRoom> best(Task task, List<WorkerRoom> rooms) {
    return rooms.stream()
        .filter(room -> room.admits(task))
        .max(Comparator.comparingLong(room -> room.preferenceFor(task.step())));
  }

  /** Places all members at the same moment or none, on one rack if they ask for it and it fits. */
  private static void placeGang(
      ImmutableList<Task> members,
      StepSpecification step,
      List<WorkerRoom> rooms,
      ImmutableList.Builder<RunStart> starts) {
    if (members.stream().anyMatch(member -> member.phase() != Task.Phase.WAITING)) {
      return;
    }
    Map<String, List<WorkerRoom>> racks = new LinkedHashMap<>();
    if (step.singleRack()) {
      rooms.forEach(
          room -> racks.computeIfAbsent(room.worker().rack(), rack -> new ArrayList<>()).add(room));
    }
    for (List<WorkerRoom> rack : racks.values()) {
      if (placeAll(members, rack, starts)) {
        return;
      }
    }
    placeAll(members, rooms, starts);
  }

  private static boolean placeAll(
      ImmutableList<Task> members, List<WorkerRoom> rooms, ImmutableList.Builder<RunStart> starts) {
    int run = members.stream().mapToInt(Task::run).max().orElse(0) + 1;
    Map<WorkerRoom, WorkerRoom> trial = new LinkedHashMap<>();
    rooms.forEach(room -> trial.put(room.copy(), room));
    List<WorkerRoom> copies = new ArrayList<>(trial.keySet());
    List<WorkerRoom> chosen = new ArrayList<>();
    for (Task member : members) {
      Optional<WorkerRoom> room = best(member, copies);
      if (room.isEmpty()) {
        return false;
      }
      room.get().take(member);
      chosen.add(room.get());
    }
    for (int index = 0; index < members.size(); index++) {
      WorkerRoom real = trial.get(chosen.get(index));
      if (real != null) {
        starts.add(start(members.get(index), run, real));
      }
    }
    return true;
  }
}
