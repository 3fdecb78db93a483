package org.verbenawheel.scheduling;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.verbenawheel.job.StepSpecification;
import org.verbenawheel.job.Task;
import org.verbenawheel.worker.Worker;

/**
 * Tracks the free capacity of a group of workers during one scheduling round. Not thread-safe.
 *
 * <p>It keeps the largest free amounts, so that a task that fits nowhere is turned away without a
 * look at each worker: in an overloaded pool nearly every waiting task is.
 */
final class PoolCapacity {
  private final List<FreeCapacity> workers = new ArrayList<>();
  private int largestFreeMillicores;
  private int largestFreeMegabytes;

  void add(FreeCapacity worker) {
    workers.add(worker);
    include(worker);
  }

  private void include(FreeCapacity worker) {
    largestFreeMillicores = Math.max(largestFreeMillicores, worker.freeMillicores());
    largestFreeMegabytes = Math.max(largestFreeMegabytes, worker.freeMegabytes());
  }

  /**
   * Returns the worker that suits a task best among those that can run it and may be sent its start
   * now; the first of equals.
   *
   * @param isPermitted whether the policy of the job's queue lets a worker run the task
   */
  Optional<FreeCapacity> bestWorker(Task task, Predicate<Worker> isPermitted) {
    if (fitsNowhere(task.step())) {
      return Optional.empty();
    }
    @Nullable FreeCapacity best = null;
    long bestPreference = Long.MIN_VALUE;
    for (FreeCapacity worker : workers) {
      if (worker.canRun(task) && worker.acceptsStart(task) && isPermitted.test(worker.worker())) {
        long preference = worker.preferenceFor(task);
        if (best == null || preference > bestPreference) {
          best = worker;
          bestPreference = preference;
        }
      }
    }
    return Optional.ofNullable(best);
  }

  private boolean fitsNowhere(StepSpecification step) {
    return step.reservedMillicores() > largestFreeMillicores
        || step.memoryMegabytes() > largestFreeMegabytes;
  }

  /**
   * Returns whether at least a share of the processor time is free, not counting what long-running
   * tasks hold.
   */
  boolean hasFreeShare(double share) {
    long total = 0;
    long free = 0;
    for (FreeCapacity worker : workers) {
      total += worker.millicoresForShortTasks();
      free += worker.freeMillicores();
    }
    return free >= total * share;
  }

  /** Subtracts what a task that starts in this round reserves from one of the workers. */
  void reserve(FreeCapacity worker, Task task) {
    worker.reserve(task);
    worker.onStart();
    updateLargest();
  }

  /**
   * Reserves room for tasks of one step that start in a later round, since the workers with room
   * for them may not be sent more starts now.
   *
   * @param task one of the tasks
   * @param count how many tasks there are
   * @param isPermitted whether the policy of the job's queue lets a worker run the tasks
   * @return how many of them have room
   */
  int reserveForLater(Task task, int count, Predicate<Worker> isPermitted) {
    if (fitsNowhere(task.step())) {
      return 0;
    }
    int placed = 0;
    for (FreeCapacity worker : workers) {
      if (worker.canRun(task) && isPermitted.test(worker.worker())) {
        int fitting = worker.countFitting(task, count - placed);
        worker.reserve(task, fitting);
        placed += fitting;
      }
    }
    if (placed > 0) {
      updateLargest();
    }
    return placed;
  }

  private void updateLargest() {
    largestFreeMillicores = 0;
    largestFreeMegabytes = 0;
    workers.forEach(this::include);
  }

  /**
   * Returns whether more workers of this kind would help a task: one of these could run it if it
   * ran nothing else, or there are none.
   */
  boolean couldRunWhenIdle(Task task) {
    return workers.isEmpty() || workers.stream().anyMatch(worker -> worker.couldRunWhenIdle(task));
  }

  /** Returns the workers of each rack. */
  List<PoolCapacity> byRack() {
    Map<String, PoolCapacity> racks = new LinkedHashMap<>();
    for (FreeCapacity worker : workers) {
      racks.computeIfAbsent(worker.worker().rack(), rack -> new PoolCapacity()).add(worker);
    }
    return List.copyOf(racks.values());
  }

  /** Returns a copy on which a placement can be tried, with the original of each copied worker. */
  Trial copy() {
    PoolCapacity copies = new PoolCapacity();
    Map<FreeCapacity, FreeCapacity> originals = new LinkedHashMap<>();
    for (FreeCapacity worker : workers) {
      FreeCapacity copy = worker.copy();
      originals.put(copy, worker);
      copies.add(copy);
    }
    return new Trial(copies, originals);
  }

  /**
   * A copy of the capacity.
   *
   * @param capacity the copied workers
   * @param originals the original of each copied worker
   */
  record Trial(PoolCapacity capacity, Map<FreeCapacity, FreeCapacity> originals) {}
}
