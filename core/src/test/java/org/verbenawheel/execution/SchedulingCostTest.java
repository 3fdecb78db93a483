package org.verbenawheel.execution;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.verbenawheel.job.StepSpecification;
import org.verbenawheel.queue.FleetConfiguration;
import org.verbenawheel.queue.InstallConfiguration;
import org.verbenawheel.queue.QueueRoute;
import org.verbenawheel.queue.WorkerPool;

/** Tests what rounds, ticks and reports of {@link FleetLeadership} cost as the deployment grows. */
final class SchedulingCostTest {
  private static final int WORKERS = 40;
  private static final int JOBS = 150;
  private static final int FEW_QUEUES = 8;
  private static final int MANY_QUEUES = 2_000;
  private static final int ROUNDS = 12;
  private static final int FEW_WORKERS = 100;
  private static final int MANY_WORKERS = 4_000;
  private static final int REPORTS_A_BATCH = 50;

  private final FleetHarness fleet = new FleetHarness();

  // A leader whose rounds search all queues for each waiting task and worker answers no caller.
  @Test
  void roundWithABacklogCostsNoMoreWithManyQueues() {
    for (int worker = 0; worker < WORKERS; worker++) {
      fleet.report("w" + worker);
    }
    fleet.advance(Duration.ofMillis(500));
    install(1, FEW_QUEUES);
    for (int job = 0; job < JOBS; job++) {
      fleet.submit("j" + job, StepSpecification.builder().taskCount(2).uses(20_000, 1, 0).build());
    }
    long withFewQueues = shortestRoundNanoseconds();
    install(2, MANY_QUEUES);

    assertThat(shortestRoundNanoseconds()).isLessThan(3 * withFewQueues);
  }

  // A round for each accepted job, each end and each report leaves no time to answer callers.
  @Test
  void jobsThatAreAcceptedTogetherShareOneRound() {
    long before = fleet.rounds();

    fleet.submitTogether(JOBS, StepSpecification.builder().build());

    assertThat(fleet.rounds() - before).isEqualTo(1);
  }

  @Test
  void reportThatChangesNothingStartsNoRound() {
    fleet.report("w1");
    fleet.advance(Duration.ofMillis(500));
    fleet.submitTogether(1, StepSpecification.builder().uses(90_000, 1, 0).build());
    long before = fleet.rounds();

    fleet.report("w1");

    assertThat(fleet.rounds()).isEqualTo(before);
  }

  // Thousands of workers report every second or two; a search through all of them for each report
  // takes more than one processor.
  @Test
  void reportOfAKnownWorkerCostsNoMoreWithManyWorkers() {
    reportFrom(0, FEW_WORKERS);
    long withFewWorkers = shortestBatchOfReportsNanoseconds();
    reportFrom(FEW_WORKERS, MANY_WORKERS);

    assertThat(shortestBatchOfReportsNanoseconds()).isLessThan(4 * withFewWorkers);
  }

  private void reportFrom(int first, int end) {
    for (int worker = first; worker < end; worker++) {
      fleet.report("w" + worker);
    }
  }

  private long shortestBatchOfReportsNanoseconds() {
    return LongStream.generate(() -> processorNanosecondsOf(() -> reportFrom(0, REPORTS_A_BATCH)))
        .limit(10 * ROUNDS)
        .min()
        .orElseThrow();
  }

  private void install(long version, int queues) {
    ImmutableList<QueueRoute> routes =
        IntStream.range(0, queues)
            .mapToObj(number -> route("other-" + number, "/" + number + "/"))
            .collect(ImmutableList.toImmutableList());
    ImmutableList<QueueRoute> all =
        ImmutableList.<QueueRoute>builder().addAll(routes).add(route("q", "")).build();
    fleet.apply(
        new InstallConfiguration(
            new FleetConfiguration(
                version, all, ImmutableList.of(new WorkerPool("p", false, true)), "")));
  }

  private static QueueRoute route(String host, String pathPrefix) {
    return new QueueRoute(
        host + pathPrefix, host, pathPrefix, "p", 3_000, 0, 3, 1.6, 600, Optional.empty());
  }

  private long shortestRoundNanoseconds() {
    return LongStream.generate(() -> processorNanosecondsOf(fleet::schedule))
        .limit(ROUNDS)
        .min()
        .orElseThrow();
  }

  private static long processorNanosecondsOf(Runnable task) {
    long before = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    task.run();
    return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - before;
  }
}
