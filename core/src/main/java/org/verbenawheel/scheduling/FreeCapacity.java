package org.verbenawheel.scheduling;

import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.verbenawheel.job.Job;
import org.verbenawheel.job.StepSpecification;
import org.verbenawheel.job.Task;
import org.verbenawheel.job.TaskId;
import org.verbenawheel.worker.Worker;

/**
 * Tracks the free capacity of one worker during one scheduling round, and scores how well the
 * worker suits a task. Not thread-safe.
 *
 * <p>A round may send a worker only so many starts, since orders that wait for a connection delay
 * each other, the polls that extend the worker's lease, and the starts of other jobs. Each job may
 * use half of the starts that the more urgent ones left, so that a job with thousands of tasks does
 * not keep the others from starting.
 */
public final class FreeCapacity {
  private final Worker worker;
  private final boolean borrowed;
  private final ImmutableSet<TaskId> failedHere;
  private final Map<StepKey, Integer> tasksOfStep = new HashMap<>();
  private int freeMillicores;
  private int freeMegabytes;
  private int freeAccelerators;
  private int servingTasks;
  private int leftoverTasks;
  private int longRunningTasks;
  private int longRunningMillicores;
  private int startsLeft;
  private int startsLeftForJob;
  private @Nullable Job startingJob;

  /**
   * Creates the free capacity of a worker on which nothing runs.
   *
   * @param borrowed whether its host returns to another pool soon, so that long-running tasks
   *     prefer other workers
   * @param failedHere tasks that failed on this worker and prefer any other
   * @param maximumStarts how many starts the worker may be sent now
   */
  public FreeCapacity(
      Worker worker, boolean borrowed, ImmutableSet<TaskId> failedHere, int maximumStarts) {
    this.worker = worker;
    this.borrowed = borrowed;
    this.failedHere = failedHere;
    this.freeMillicores = worker.capacity().cpuMillicores();
    this.freeMegabytes = worker.capacity().memoryMegabytes();
    this.freeAccelerators = worker.capacity().accelerators();
    this.startsLeft = maximumStarts;
  }

  /** Returns a copy on which a placement can be tried. */
  FreeCapacity copy() {
    FreeCapacity copy = new FreeCapacity(worker, borrowed, failedHere, startsLeft);
    copy.tasksOfStep.putAll(tasksOfStep);
    copy.freeMillicores = freeMillicores;
    copy.freeMegabytes = freeMegabytes;
    copy.freeAccelerators = freeAccelerators;
    copy.servingTasks = servingTasks;
    copy.leftoverTasks = leftoverTasks;
    copy.longRunningTasks = longRunningTasks;
    copy.longRunningMillicores = longRunningMillicores;
    return copy;
  }

  /** Returns the worker. */
  public Worker worker() {
    return worker;
  }

  /** Returns the processor time that is free, in thousandths of a core. */
  public int freeMillicores() {
    return freeMillicores;
  }

  /** Returns the processor time that long-running tasks leave, in thousandths of a core. */
  int millicoresForShortTasks() {
    return worker.capacity().cpuMillicores() - longRunningMillicores;
  }

  /** Returns the memory that is free, in megabytes. */
  int freeMegabytes() {
    return freeMegabytes;
  }

  /** Subtracts what a task reserves. The task is bound to this worker, or about to be. */
  public void reserve(Task task) {
    reserve(task, 1);
  }

  /** Subtracts what several tasks of one step reserve. */
  void reserve(Task task, int count) {
    StepSpecification step = task.step();
    freeMillicores -= count * step.reservedMillicores();
    freeMegabytes -= count * step.memoryMegabytes();
    freeAccelerators -= count * step.accelerators();
    tasksOfStep.merge(StepKey.of(task), count, Integer::sum);
    if (step.targetMilliseconds() > 0) {
      servingTasks += count;
    }
    if (step.fillsLeftover()) {
      leftoverTasks += count;
    }
    if (step.longRunning()) {
      longRunningTasks += count;
      longRunningMillicores += count * step.reservedMillicores();
    }
  }

  /**
   * Returns whether the worker may be sent the start of a task in this round. A gang starts as a
   * whole, whatever its size.
   */
  boolean acceptsStart(Task task) {
    if (task.step().gang()) {
      return true;
    }
    if (task.job() != startingJob) {
      startingJob = task.job();
      startsLeftForJob = startsLeft - startsLeft / 2;
    }
    return startsLeftForJob > 0;
  }

  /** Counts the start of a task in this round. */
  void onStart() {
    startsLeft--;
    startsLeftForJob--;
  }

  /** Returns how many tasks of a task's step the worker has room for, at most a limit. */
  int countFitting(Task task, int limit) {
    StepSpecification step = task.step();
    int count = limit;
    count = Math.min(count, quotient(freeMillicores, step.reservedMillicores()));
    count = Math.min(count, quotient(freeMegabytes, step.memoryMegabytes()));
    count = Math.min(count, quotient(freeAccelerators, step.accelerators()));
    if (step.maximumPerWorker() > 0) {
      int present = tasksOfStep.getOrDefault(StepKey.of(task), 0);
      count = Math.min(count, step.maximumPerWorker() - present);
    }
    return Math.max(0, count);
  }

  private static int quotient(int free, int needed) {
    return needed == 0 ? Integer.MAX_VALUE : free / needed;
  }

  /** Returns whether the worker could run the task if it ran nothing else. */
  boolean couldRunWhenIdle(Task task) {
    StepSpecification step = task.step();
    return step.reservedMillicores() <= worker.capacity().cpuMillicores()
        && step.memoryMegabytes() <= worker.capacity().memoryMegabytes()
        && step.accelerators() <= worker.capacity().accelerators()
        && hasRequiredLabel(step);
  }

  private boolean hasRequiredLabel(StepSpecification step) {
    return step.requiredLabel().isEmpty() || worker.labels().contains(step.requiredLabel());
  }

  /**
   * Returns whether the task fits now, the worker has the required label, and it runs fewer tasks
   * of the step than its limit.
   */
  boolean canRun(Task task) {
    StepSpecification step = task.step();
    boolean fits =
        step.reservedMillicores() <= freeMillicores
            && step.memoryMegabytes() <= freeMegabytes
            && step.accelerators() <= freeAccelerators;
    boolean belowStepLimit =
        step.maximumPerWorker() == 0
            || tasksOfStep.getOrDefault(StepKey.of(task), 0) < step.maximumPerWorker();
    return fits && hasRequiredLabel(step) && belowStepLimit;
  }

  /**
   * Returns how well the worker suits a task: higher is better. Each criterion has bits of its own,
   * so it decides only between workers that are equal in those above it.
   *
   * <p>Tasks that use leftover processor time avoid workers with serving tasks, and the reverse.
   * Long-running tasks are spread over the workers. Short ones are packed beside them, so that the
   * other hosts become idle and can be parked.
   */
  long preferenceFor(Task task) {
    StepSpecification step = task.step();
    long conflictingTasks = 0;
    if (step.fillsLeftover()) {
      conflictingTasks = servingTasks;
    } else if (step.targetMilliseconds() > 0) {
      conflictingTasks = leftoverTasks;
    }
    boolean onPreferredRack =
        step.preferredRack().isEmpty() || step.preferredRack().equals(worker.rack());
    boolean notCutShort = !borrowed || !step.longRunning();
    boolean besideLongRunning = !step.longRunning() && longRunningTasks > 0;
    boolean notFailedHere = !failedHere.contains(task.id());
    return (notFailedHere ? 1L << 52 : 0)
        + (onPreferredRack ? 1L << 50 : 0)
        + (notCutShort ? 1L << 48 : 0)
        - (conflictingTasks << 40)
        + (besideLongRunning ? 1L << 38 : 0)
        + (step.longRunning() ? freeMillicores : -freeMillicores);
  }

  /** Identifies a step of one occurrence of a job. */
  private record StepKey(String job, int occurrence, int step) {
    static StepKey of(Task task) {
      return new StepKey(task.id().job(), task.id().occurrence(), task.id().step());
    }
  }
}
