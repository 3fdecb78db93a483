package org.verbenawheel.fleet;

import com.google.common.collect.ImmutableList;
import java.util.Collection;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.verbenawheel.job.Job;
import org.verbenawheel.job.JobRegistry;
import org.verbenawheel.operator.JobDetails;
import org.verbenawheel.operator.JobReport;
import org.verbenawheel.operator.WorkerReport;
import org.verbenawheel.replication.ReplicaProcess;
import org.verbenawheel.worker.WorkerRegistry;

/**
 * Reads jobs and workers for operators, after a quorum has confirmed that this process leads;
 * otherwise the returned futures fail. Thread-safe.
 */
public final class FleetReports {
  /** Limits the size of an answer; the oldest jobs come first, as they have waited longest. */
  private static final int MAXIMUM_JOBS = 1_000;

  private final ReplicaProcess replica;
  private final JobRegistry jobs;
  private final WorkerRegistry workers;

  FleetReports(ReplicaProcess replica, JobRegistry jobs, WorkerRegistry workers) {
    this.replica = replica;
    this.jobs = jobs;
    this.workers = workers;
  }

  /**
   * Returns the jobs in acceptance order, at most 1,000.
   *
   * @param queue only jobs of this queue; empty for all queues
   * @param ended whether to include ended jobs
   */
  public CompletableFuture<ImmutableList<JobReport>> jobs(Optional<String> queue, boolean ended) {
    return replica.read(
        () -> {
          Collection<Job> candidates = ended ? jobs.all() : jobs.active();
          return candidates.stream()
              .filter(job -> queue.isEmpty() || job.queue().equals(queue.get()))
              .limit(MAXIMUM_JOBS)
              .map(JobReport::of)
              .collect(ImmutableList.toImmutableList());
        });
  }

  /** Returns one job with its tasks, or empty if it is unknown. */
  public CompletableFuture<Optional<JobDetails>> job(String id) {
    return replica.read(() -> jobs.find(id).map(JobDetails::of));
  }

  /** Returns the registered workers. */
  public CompletableFuture<ImmutableList<WorkerReport>> workers() {
    return replica.read(
        () ->
            workers.all().stream()
                .map(worker -> WorkerReport.of(worker, jobs))
                .collect(ImmutableList.toImmutableList()));
  }
}
