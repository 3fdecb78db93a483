package org.verbenawheel.operator;

import org.verbenawheel.job.JobRegistry;
import org.verbenawheel.job.Task;
import org.verbenawheel.worker.Worker;

/**
 * The summary of a worker that operators get.
 *
 * @param id its id
 * @param host the host that it runs on
 * @param pool the pool that it belongs to
 * @param availabilityZone the availability zone of its host
 * @param address the address to which its commands are sent
 * @param draining whether it takes no new tasks because it is about to leave
 * @param cpuMillicores its CPU capacity for tasks, in thousandths of a core
 * @param boundMillicores the CPU reserved by the tasks bound to it, in thousandths of a core
 * @param boundTasks how many tasks are bound to it
 */
public record WorkerReport(
    String id,
    String host,
    String pool,
    String availabilityZone,
    String address,
    boolean draining,
    int cpuMillicores,
    int boundMillicores,
    int boundTasks) {

  /**
   * Returns the report of a worker.
   *
   * @param jobs the jobs, with the tasks bound to the worker
   */
  public static WorkerReport of(Worker worker, JobRegistry jobs) {
    var bound = jobs.boundTo(worker.id());
    return new WorkerReport(
        worker.id(),
        worker.host(),
        worker.pool(),
        worker.zone(),
        worker.address(),
        worker.draining(),
        worker.capacity().cpuMillicores(),
        bound.stream().map(Task::step).mapToInt(step -> step.reservedMillicores()).sum(),
        bound.size());
  }
}
