package org.verbenawheel.job;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.verbenawheel.job.JobCommands.AcceptJob;

/** A job in the replicated state, with its tasks. Confined to the state thread. */
public final class Job {
  private final AcceptJob accepted;
  private final Instant acceptedAt;
  private final ImmutableList<ImmutableList<ImmutableList<Task>>> occurrences;
  private final int[][] unfinished;
  private final ImmutableList<Long> criticalPathsMilliseconds;
  private int unfinishedTasks;
  private int boundTasks;
  private JobPhase phase = JobPhase.QUEUED;
  private Optional<Instant> endedAt = Optional.empty();

  Job(AcceptJob accepted, Instant acceptedAt) {
    this.accepted = accepted;
    this.acceptedAt = acceptedAt;
    this.criticalPathsMilliseconds = accepted.specification().criticalPathsMilliseconds();
    int count = accepted.specification().occurrences();
    int stepCount = accepted.specification().steps().size();
    this.unfinished = new int[count][stepCount];
    ImmutableList.Builder<ImmutableList<ImmutableList<Task>>> all = ImmutableList.builder();
    for (int occurrence = 0; occurrence < count; occurrence++) {
      ImmutableList.Builder<ImmutableList<Task>> steps = ImmutableList.builder();
      for (int step = 0; step < stepCount; step++) {
        steps.add(newTasks(occurrence, step));
      }
      all.add(steps.build());
    }
    this.occurrences = all.build();
  }

  private ImmutableList<Task> newTasks(int occurrence, int step) {
    int count = specification().steps().get(step).taskCount();
    List<Task> tasks = new ArrayList<>(count);
    for (int index = 0; index < count; index++) {
      tasks.add(new Task(this, new TaskId(id(), occurrence, step, index)));
    }
    unfinished[occurrence][step] = count;
    unfinishedTasks += count;
    return ImmutableList.copyOf(tasks);
  }

  /** Returns the caller's id for the job. */
  public String id() {
    return accepted.job();
  }

  /** Returns the host name and path prefix that callers address to reach the job's queue. */
  public String queue() {
    return accepted.queue();
  }

  /** Returns the steps and tasks that the caller submitted. */
  public JobSpecification specification() {
    return accepted.specification();
  }

  /** Returns the pool, priority and limits that the queue set when the job was accepted. */
  public JobCommands.Limits limits() {
    return accepted.limits();
  }

  /** Returns when the job was stored, by the clock of the leader at that time. */
  public Instant acceptedAt() {
    return acceptedAt;
  }

  /** Returns whether the job is queued, runs or has ended. */
  public JobPhase phase() {
    return phase;
  }

  /** Returns how many of its tasks are bound to a worker. */
  public int boundTasks() {
    return boundTasks;
  }

  /** Returns how many of its tasks are not done. */
  public int unfinishedTasks() {
    return unfinishedTasks;
  }

  /**
   * Returns whether a task is neither done nor bound to a worker. Such a task may still wait for an
   * earlier step or for its start time.
   */
  public boolean hasWaitingTask() {
    return boundTasks < unfinishedTasks;
  }

  /** Returns the estimated time from the start of a step to the end of the job, in milliseconds. */
  public long criticalPathMillisecondsFrom(int step) {
    return criticalPathsMilliseconds.get(step);
  }

  /** Returns the tasks of one step. */
  public ImmutableList<Task> tasks(int occurrence, int step) {
    return occurrences.get(occurrence).get(step);
  }

  /** Returns how many tasks of a step are not done. */
  public int unfinishedTasks(int occurrence, int step) {
    return unfinished[occurrence][step];
  }

  /** Returns whether all tasks of a step are done. */
  public boolean isDone(int occurrence, int step) {
    return unfinished[occurrence][step] == 0;
  }

  /** Returns whether all steps that a step depends on are done. */
  public boolean isReady(int occurrence, int step) {
    return specification().steps().get(step).dependsOn().stream()
        .allMatch(earlier -> isDone(occurrence, earlier));
  }

  /** Returns the task with an id; empty if its numbers are out of range for this job. */
  Optional<Task> find(TaskId task) {
    boolean exists =
        task.occurrence() >= 0
            && task.occurrence() < occurrences.size()
            && task.step() >= 0
            && task.step() < specification().steps().size()
            && task.index() >= 0
            && task.index() < tasks(task.occurrence(), task.step()).size();
    return exists
        ? Optional.of(tasks(task.occurrence(), task.step()).get(task.index()))
        : Optional.empty();
  }

  /** Counts a task that was bound to a worker. The first one sets the job running. */
  void onBound() {
    boundTasks++;
    if (phase == JobPhase.QUEUED) {
      phase = JobPhase.RUNNING;
    }
  }

  void onReleased() {
    boundTasks--;
  }

  /** Counts a task that is done. The last one completes the job, unless it has ended before. */
  void onTaskDone(TaskId task, Instant now) {
    unfinished[task.occurrence()][task.step()]--;
    unfinishedTasks--;
    if (unfinishedTasks == 0 && !phase.isTerminal()) {
      end(JobPhase.COMPLETED, now);
    }
  }

  void end(JobPhase endPhase, Instant now) {
    phase = endPhase;
    endedAt = Optional.of(now);
  }

  /**
   * Returns whether the job can be deleted: it ended longer ago than the retention and binds no
   * task.
   */
  boolean isExpired(Instant now, Duration retention) {
    return boundTasks == 0 && endedAt.isPresent() && now.isAfter(endedAt.get().plus(retention));
  }

  /**
   * Returns the form of this job in a snapshot. An ended job that binds no task is stored without
   * its steps and tasks, since no command can change it any more.
   */
  JobSnapshot toSnapshot() {
    if (phase.isTerminal() && boundTasks == 0) {
      return new JobSnapshot(
          accepted.withoutWork(), acceptedAt, phase, endedAt, ImmutableList.of());
    }
    ImmutableList.Builder<JobSnapshot.TaskSnapshot> tasks = ImmutableList.builder();
    allTasks().forEach(task -> tasks.add(task.toSnapshot()));
    return new JobSnapshot(accepted, acceptedAt, phase, endedAt, tasks.build());
  }

  static Job restore(JobSnapshot snapshot) {
    Job job = new Job(snapshot.accepted(), snapshot.acceptedAt());
    int position = 0;
    for (Task task : job.allTasks()) {
      task.restore(snapshot.tasks().get(position++));
      job.countRestored(task);
    }
    job.phase = snapshot.phase();
    job.endedAt = snapshot.endedAt();
    return job;
  }

  private void countRestored(Task task) {
    if (task.phase() == Task.Phase.BOUND) {
      boundTasks++;
    } else if (task.phase() == Task.Phase.DONE) {
      unfinished[task.id().occurrence()][task.id().step()]--;
      unfinishedTasks--;
    }
  }

  /** Returns all tasks, by occurrence, step and index. */
  public ImmutableList<Task> allTasks() {
    ImmutableList.Builder<Task> tasks = ImmutableList.builder();
    occurrences.forEach(steps -> steps.forEach(tasks::addAll));
    return tasks.build();
  }
}
