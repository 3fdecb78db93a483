package org.verbenawheel.scheduling;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.verbenawheel.job.JobCommands.AcceptJob;
import org.verbenawheel.job.JobCommands.Limits;
import org.verbenawheel.job.JobRegistry;
import org.verbenawheel.job.JobSpecification;
import org.verbenawheel.job.StepSpecification;
import org.verbenawheel.replication.ApplyContext;
import org.verbenawheel.worker.Worker;

/**
 * Prints how long one scheduling round takes for several numbers of workers and waiting tasks.
 * Checks nothing, and is not run with the tests.
 */
final class JobSchedulerExperiment {
  private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
  private static final int WARM_UP_ROUNDS = 300;
  private static final int ROUNDS = 300;
  private static final int TASKS_PER_JOB = 5;

  @Test
  void measure() {
    for (int workers : new int[] {35, 300, 4_100}) {
      for (int tasks : new int[] {100, 500, 2_000}) {
        measure(workers, tasks);
      }
    }
  }

  private static void measure(int workers, int tasks) {
    JobRegistry jobRegistry = registryWithTasks(tasks);
    JobScheduler scheduler = new JobScheduler(job -> job.limits().pool(), task -> worker -> true);
    int pools = Math.max(1, workers / 30);
    long nanoseconds = 0;
    for (int round = 0; round < WARM_UP_ROUNDS + ROUNDS; round++) {
      List<FreeCapacity> candidates = freeWorkers(workers, pools);
      long startNanoseconds = System.nanoTime();
      var unused = scheduler.decide(jobRegistry.active(), candidates, NOW, 0);
      nanoseconds += round < WARM_UP_ROUNDS ? 0 : System.nanoTime() - startNanoseconds;
    }
    System.out.printf(
        "workers=%d waiting_tasks=%d microseconds_a_round=%.0f%n",
        workers, tasks, nanoseconds / 1e3 / ROUNDS);
  }

  private static JobRegistry registryWithTasks(int tasks) {
    JobRegistry jobRegistry = new JobRegistry(Duration.ofMinutes(2));
    StepSpecification step =
        StepSpecification.builder()
            .taskCount(TASKS_PER_JOB)
            .uses(1_800, 3_300, 0)
            .estimateMilliseconds(540)
            .build();
    JobSpecification job = new JobSpecification("x", ImmutableList.of(step), 1, 0, 0);
    for (int number = 0; number < tasks / TASKS_PER_JOB; number++) {
      var unused =
          jobRegistry.apply(
              new AcceptJob("j" + number, "q", job, new Limits("p0", 0, 3, 2_000)),
              new ApplyContext(number, NOW));
    }
    return jobRegistry;
  }

  private static List<FreeCapacity> freeWorkers(int workers, int pools) {
    List<FreeCapacity> candidates = new ArrayList<>();
    for (int number = 0; number < workers; number++) {
      Worker worker =
          new Worker(
              "w" + number,
              1,
              "h" + number,
              "p" + number % pools,
              "10.0.0.1:1",
              "zone",
              new Worker.Capacity(32_000, 65_536, 0),
              ImmutableList.of("a", "r" + number / 4),
              false);
      candidates.add(new FreeCapacity(worker, false, ImmutableSet.of(), Integer.MAX_VALUE));
    }
    return candidates;
  }
}
