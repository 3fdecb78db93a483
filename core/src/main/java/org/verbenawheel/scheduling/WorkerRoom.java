package org.verbenawheel.scheduling;

import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.Map;
import org.verbenawheel.job.StepSpecification;
import org.verbenawheel.job.Task;
import org.verbenawheel.job.TaskId;
import org.verbenawheel.worker.Worker;

/** What is free on one worker while one round of decisions is made. Not thread-safe. */
public final class WorkerRoom {
  private final Worker worker;
  private final boolean borrowed;
  private final ImmutableSet<TaskId> failedHere;
  private final Map<StepKey, Integer> tasksOfStep = new HashMap<>();
  private int freeMillicores;
  private int freeMegabytes;
  private int freeAccelerators;
  private int servingTasks;
  private int fillingTasks;
  private int lastingTasks;

  /**
   * Makes the room of a worker on which nothing runs.
   *
   * @param borrowed whether its host is to be given back soon, so that tasks that last keep away
   * @param failedHere tasks that failed there and are tried elsewhere first
   */
  public WorkerRoom(Worker worker, boolean borrowed, ImmutableSet<TaskId> failedHere) {
    this.worker = worker;
    this.borrowed = borrowed;
    this.failedHere = failedHere;
    this.freeMillicores = worker.capacity().cpuMillicores();
    this.freeMegabytes = worker.capacity().memoryMegabytes();
    this.freeAccelerators = worker.capacity().accelerators();
  }

  /** Returns an equal room, for trying a placement. */
  WorkerRoom copy() {
    WorkerRoom copy = new WorkerRoom(worker, borrowed, failedHere);
    copy.tasksOfStep.putAll(tasksOfStep);
    copy.freeMillicores = freeMillicores;
    copy.freeMegabytes = freeMegabytes;
    copy.freeAccelerators = freeAccelerators;
    copy.servingTasks = servingTasks;
    copy.fillingTasks = fillingTasks;
    copy.lastingTasks = lastingTasks;
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

  /** Takes the room of a task that is bound to the worker. */
  public void take(Task task) {
    StepSpecification step = task.step();
    freeMillicores -= step.reservedMillicores();
    freeMegabytes -= step.memoryMegabytes();
    freeAccelerators -= step.accelerators();
    tasksOfStep.merge(StepKey.of(task), 1, Integer::sum);
    if (step.targetMilliseconds() > 0) {
      servingTasks++;
    }
    if (step.fillsLeftover()) {
      fillingTasks++;
    }
    if (step.longRunning()) {
      lastingTasks++;
    }
  }

  /** Returns whether the worker could run a task if it ran nothing else. */
  boolean couldAdmit(Task task) {
    StepSpecification step = task.step();
    return step.reservedMillicores() <= worker.capacity().cpuMillicores()
        && step.memoryMegabytes() <= worker.capacity().memoryMegabytes()
        && step.accelerators() <= worker.capacity().accelerators()
        && isLabelled(step);
  }

  private boolean isLabelled(StepSpecification step) {
    return step.requiredLabel().isEmpty() || worker.labels().contains(step.requiredLabel());
  }

  /** Returns whether the worker may run one more task of a step. */
  boolean admits(Task task) {
    StepSpecification step = task.step();
    boolean fits =
        step.reservedMillicores() <= freeMillicores
            && step.memoryMegabytes() <= freeMegabytes
            && step.accelerators() <= freeAccelerators;
    boolean apart =
        step.maximumPerWorker() == 0
            || tasksOfStep.getOrDefault(StepKey.of(task), 0) < step.maximumPerWorker();
    return fits && isLabelled(step) && apart;
  }

  /**
   * Returns how well the worker suits a task: higher is better. Tasks that fill keep away from
   * tasks that serve; tasks that last are spread, and short ones packed beside them, so that the
   * other hosts become idle and can be parked.
   */
  long preferenceFor(Task task) {
    StepSpecification step = task.step();
    long disturbed = 0;
    if (step.fillsLeftover()) {
      disturbed = servingTasks;
    } else if (step.targetMilliseconds() > 0) {
      disturbed = fillingTasks;
    }
    boolean near = step.preferredRack().isEmpty() || step.preferredRack().equals(worker.rack());
    boolean stays = !borrowed || !step.longRunning();
    boolean packed = !step.longRunning() && lastingTasks > 0;
    boolean untried = !failedHere.contains(task.id());
    return (untried ? 1L << 52 : 0)
        + (near ? 1L << 50 : 0)
        + (stays ? 1L << 48 : 0)
        - (disturbed << 40)
        + (packed ? 1L << 38 : 0)
        + (step.longRunning() ? freeMillicores : -freeMillicores);
  }

  /** Names a step of one occurrence of a job. */
  private record StepKey(String job, int occurrence, int step) {
    static StepKey of(Task task) {
      return new StepKey(task.id().job(), task.id().occurrence(), task.id().step());
    }
  }
}
