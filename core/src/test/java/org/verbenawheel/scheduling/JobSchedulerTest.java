package org.verbenawheel.scheduling;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.verbenawheel.job.JobCommands.AcceptJob;
import org.verbenawheel.job.JobCommands.Limits;
import org.verbenawheel.job.JobCommands.RecordStarts;
import org.verbenawheel.job.JobCommands.RunStart;
import org.verbenawheel.job.JobRegistry;
import org.verbenawheel.job.JobSpecification;
import org.verbenawheel.job.StepSpecification;
import org.verbenawheel.job.TaskId;
import org.verbenawheel.replication.ApplyContext;
import org.verbenawheel.worker.Worker;

/** Tests {@link JobScheduler}. */
final class JobSchedulerTest {
  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

  private final Set<String> forbiddenWorkers = new HashSet<>();
  private final JobRegistry jobRegistry = new JobRegistry(Duration.ofMinutes(2));
  private final JobScheduler scheduler =
      new JobScheduler(
          job -> job.limits().pool(), task -> worker -> !forbiddenWorkers.contains(worker.id()));
  private final List<Worker> workers = new ArrayList<>();
  private final Map<String, ImmutableSet<TaskId>> failedTasksByWorker = new HashMap<>();
  private Instant now = START;
  private int maximumStarts = Integer.MAX_VALUE;
  private long index;

  @Test
  void longRunningTaskGoesToTheWorkerWithTheMostFreeProcessorTime() {
    addWorker("small", 1_000, "r1");
    addWorker("large", 4_000, "r1");
    submit("a", 1_000, StepSpecification.builder().uses(1_000, 1, 0).longRunning(true).build());

    assertThat(decideAndRecord()).containsExactly(new RunStart("a.0.0.0", 1, "large"));
  }

  @Test
  void shortTaskGoesToTheFullestWorkerThatFits() {
    addWorker("large", 4_000, "r1");
    addWorker("small", 1_000, "r1");
    submit("a", 1_000, StepSpecification.builder().uses(1_000, 1, 0).build());

    assertThat(decideAndRecord()).containsExactly(new RunStart("a.0.0.0", 1, "small"));
  }

  @Test
  void shortTaskGoesBesideALongRunningTask() {
    addWorker("large", 9_000, "r1");
    addWorker("small", 4_000, "r1");
    submit("a", 1_000, StepSpecification.builder().uses(1_000, 1, 0).longRunning(true).build());
    decideAndRecord();
    submit("b", 1_000, StepSpecification.builder().uses(1_000, 1, 0).build());

    assertThat(decideAndRecord()).containsExactly(new RunStart("b.0.0.0", 1, "large"));
  }

  @Test
  void taskThatNoWorkerCouldRunIsNotCountedAsShortage() {
    addWorker("w", 2_000, "r1");
    submit("large", 1_000, StepSpecification.builder().uses(3_000, 1, 0).build());
    submit("other", 1_000, StepSpecification.builder().requiredLabel("none").build());

    assertThat(decideOnly().shortages().getOrDefault("p", 0L)).isEqualTo(0);
  }

  @Test
  void workerThatThePolicyForbidsGetsNoTask() {
    addWorker("w", 4_000, "r1");
    addWorker("v", 9_000, "r1");
    forbiddenWorkers.add("w");
    submit("a", 1_000, StepSpecification.builder().taskCount(9).uses(1_000, 1, 0).build());

    assertThat(decideAndRecord().stream().map(RunStart::worker).distinct().toList())
        .containsExactly("v");
  }

  @Test
  void fullWorkerGetsNoTask() {
    addWorker("w", 2_000, "r1");
    submit("a", 1_000, StepSpecification.builder().taskCount(5).uses(1_000, 1, 0).build());

    assertThat(decideAndRecord()).hasSize(2);
    assertThat(decideAndRecord()).isEmpty();
  }

  @Test
  void processorTimeOfTasksWithoutAWorkerIsReportedAsShortage() {
    addWorker("w", 2_000, "r1");
    submit("a", 1_000, StepSpecification.builder().taskCount(5).uses(1_000, 1, 0).build());

    assertThat(decideOnly().shortages()).containsExactly("p", 3_000L);
  }

  @Test
  void jobThatCanMeetItsObjectiveStartsBeforeALateOne() {
    addWorker("w", 1_000, "r1");
    submit("late", 100, step(500));
    now = START.plusMillis(150);
    submit("early", 2_000, step(500));

    assertThat(decideAndRecord()).containsExactly(new RunStart("early.0.0.0", 1, "w"));
  }

  @Test
  void stepWaitsForTheStepsItDependsOn() {
    addWorker("w", 4_000, "r1");
    submit(
        "a",
        1_000,
        StepSpecification.builder().build(),
        StepSpecification.builder().dependsOn(ImmutableList.of(0)).build());

    assertThat(decideAndRecord()).containsExactly(new RunStart("a.0.0.0", 1, "w"));
  }

  @Test
  void workerRunsAtMostTheStepsMaximumPerWorker() {
    addWorker("w", 9_000, "r1");
    addWorker("v", 9_000, "r1");
    submit("a", 1_000, StepSpecification.builder().taskCount(5).maximumPerWorker(1).build());

    assertThat(decideAndRecord()).hasSize(2);
  }

  @Test
  void workerWithoutTheRequiredLabelGetsNoTask() {
    addWorker("w", 9_000, "r1");
    submit("a", 1_000, StepSpecification.builder().requiredLabel("gold").build());

    assertThat(decideAndRecord()).isEmpty();
  }

  @Test
  void workerOnThePreferredRackGetsTheTask() {
    addWorker("far", 9_000, "r1");
    addWorker("near", 2_000, "r2");
    submit("a", 1_000, StepSpecification.builder().preferredRack("r2").build());

    assertThat(decideAndRecord()).containsExactly(new RunStart("a.0.0.0", 1, "near"));
  }

  @Test
  void failedTaskIsRetriedOnAnotherWorker() {
    addWorker("bad", 9_000, "r1");
    addWorker("good", 2_000, "r1");
    submit("a", 1_000, StepSpecification.builder().build());
    failedTasksByWorker.put("bad", ImmutableSet.of(new TaskId("a", 0, 0, 0)));

    assertThat(decideAndRecord()).containsExactly(new RunStart("a.0.0.0", 1, "good"));
  }

  @Test
  void gangStartsAllMembersOrNone() {
    addWorker("w", 2_000, "r1");
    submit("a", 1_000, gang(3));
    assertThat(decideAndRecord()).isEmpty();

    addWorker("v", 1_000, "r2");

    assertThat(decideAndRecord()).hasSize(3);
  }

  @Test
  void gangRunsOnOneRackIfItFits() {
    addWorker("w1", 2_000, "r1");
    addWorker("w2", 1_000, "r2");
    addWorker("w3", 2_000, "r2");
    submit("a", 1_000, gang(3));

    assertThat(decideAndRecord().stream().map(RunStart::worker).distinct().toList())
        .containsExactly("w2", "w3");
  }

  @Test
  void timedOccurrenceWaitsForItsStartTime() {
    addWorker("w", 4_000, "r1");
    JobSpecification twice =
        new JobSpecification(
            "x",
            ImmutableList.of(StepSpecification.builder().build()),
            2,
            START.plusSeconds(1).toEpochMilli(),
            1_000);
    jobRegistry.apply(
        new AcceptJob("a", "q", twice, new Limits("p", 0, 3, 1_000)),
        new ApplyContext(++index, now));
    assertThat(decideAndRecord()).isEmpty();

    now = START.plusSeconds(1);
    assertThat(decideAndRecord()).containsExactly(new RunStart("a.0.0.0", 1, "w"));
    now = START.plusSeconds(2);
    assertThat(decideAndRecord()).containsExactly(new RunStart("a.1.0.0", 1, "w"));
  }

  // A task can't be interrupted, so the next job in time would wait for it.
  @Test
  void jobWithoutValueLeavesAQuarterOfThePoolFree() {
    addWorker("w", 8_000, "r1");
    submit("hopeless", 100, step(9_000), step(9_000));
    submit("timely", 9_000, StepSpecification.builder().taskCount(7).uses(1_000, 1, 0).build());

    assertThat(decideAndRecord().stream().map(RunStart::task).toList())
        .doesNotContain("hopeless.0.0.0");
  }

  @Test
  void jobWithoutValueRunsInAPoolThatLongRunningTasksNearlyFill() {
    addWorker("w", 8_000, "r1");
    submit("serving", 100, StepSpecification.builder().uses(7_000, 1, 0).longRunning(true).build());
    submit("hopeless", 100, step(9_000));

    assertThat(decideAndRecord().stream().map(RunStart::task).toList()).contains("hopeless.0.0.0");
  }

  @Test
  void overdueJobStartsInABusierPool() {
    addWorker("w", 8_000, "r1");
    submit("hopeless", 100, step(9_000));
    now = now.plusSeconds(60);
    submit("timely", 9_000, StepSpecification.builder().taskCount(7).uses(1_000, 1, 0).build());

    assertThat(decideAndRecord().stream().map(RunStart::task).toList()).contains("hopeless.0.0.0");
  }

  @Test
  void lateJobWithTheEarlierLastUsefulTimeStartsFirst() {
    addWorker("w", 1_000, "r1");
    submit("older", 1_000, step(2_000));
    now = START.plusMillis(500);
    submit("newer", 1_000, step(1_500));

    assertThat(decideAndRecord()).containsExactly(new RunStart("older.0.0.0", 1, "w"));
  }

  @Test
  void ofTheJobsThatAreTooLateTheLatestToBecomeSoStartsFirst() {
    addWorker("w", 1_000, "r1");
    submit("older", 1_000, step(100));
    now = START.plusSeconds(5);
    submit("newer", 1_000, step(200));
    now = START.plusSeconds(20);

    assertThat(decideAndRecord()).containsExactly(new RunStart("newer.0.0.0", 1, "w"));
  }

  @Test
  void objectiveOfATimedOccurrenceCountsFromItsStartTime() {
    addWorker("w", 1_000, "r1");
    JobSpecification timed =
        new JobSpecification(
            "x", ImmutableList.of(step(500)), 1, START.plusSeconds(60).toEpochMilli(), 0);
    jobRegistry.apply(
        new AcceptJob("timed", "q", timed, new Limits("p", 0, 3, 1_000)),
        new ApplyContext(++index, now));
    now = START.plusSeconds(59);
    submit("late", 300, step(400));
    now = START.plusSeconds(60);

    assertThat(decideAndRecord()).containsExactly(new RunStart("timed.0.0.0", 1, "w"));
  }

  @Test
  void tasksThatUseLeftoverProcessorTimeAvoidWorkersWithServingTasks() {
    addWorker("w", 9_000, "r1");
    addWorker("v", 4_000, "r1");
    submit(
        "serving",
        1_000,
        StepSpecification.builder().uses(2_000, 1, 0).serves("i", 50).longRunning(true).build());
    decideAndRecord();
    submit(
        "filling",
        1_000,
        StepSpecification.builder().taskCount(3).uses(4_000, 1, 0).fillsLeftover(true).build());

    assertThat(decideAndRecord().stream().map(RunStart::worker).distinct().toList())
        .containsExactly("v");
  }

  // One job with thousands of tasks would take all starts of each round, and no other job began.
  @Test
  void jobWithManyTasksLeavesStartsForLessUrgentJobs() {
    maximumStarts = 8;
    addWorker("w", 9_000, "r1");
    submit("wide", 100, StepSpecification.builder().taskCount(1_000).uses(1, 0, 0).build());
    now = now.plusMillis(50);
    submit("small", 1_000, step(100));

    ImmutableList<RunStart> starts = decideAndRecord();

    assertThat(starts).hasSize(5);
    assertThat(starts).contains(new RunStart("small.0.0.0", 1, "w"));
  }

  // More hosts would not help tasks that only wait for a worker's answers to earlier orders.
  @Test
  void tasksThatStartInALaterRoundKeepTheirRoomAndAreNoShortage() {
    maximumStarts = 2;
    addWorker("w", 1_000, "r1");
    submit("urgent", 100, StepSpecification.builder().taskCount(10).uses(100, 1, 0).build());
    now = now.plusMillis(50);
    submit("other", 1_000, StepSpecification.builder().uses(100, 1, 0).build());

    SchedulingResult decision = decideOnly();

    assertThat(decision.starts()).containsExactly(new RunStart("urgent.0.0.0", 1, "w"));
    assertThat(decision.shortages()).containsExactly("p", 100L);
  }

  // A gang larger than the limit would never start.
  @Test
  void gangStartsWholeWhateverTheLimitOfStarts() {
    maximumStarts = 2;
    addWorker("w", 1_000, "r1");
    submit("a", 100, StepSpecification.builder().taskCount(10).gang(true).uses(10, 1, 0).build());

    assertThat(decideAndRecord()).hasSize(10);
  }

  /** Compares with first come, first served on the first worker that has enough free. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void startsAsManyTasksAsFirstComeFirstServed(long seed) {
    Random random = new Random(seed);
    for (int number = 0; number < 5; number++) {
      addWorker("w" + number, 4_000, "r" + number % 2);
    }
    Map<String, Integer> free = new HashMap<>();
    workers.forEach(worker -> free.put(worker.id(), 4_000));
    int startedByReference = 0;
    for (int job = 0; job < 30; job++) {
      int count = 1 + random.nextInt(4);
      submit(
          "j" + job, 1_000, StepSpecification.builder().taskCount(count).uses(500, 1, 0).build());
      for (int task = 0; task < count; task++) {
        for (Map.Entry<String, Integer> worker : free.entrySet()) {
          if (worker.getValue() >= 500) {
            worker.setValue(worker.getValue() - 500);
            startedByReference++;
            break;
          }
        }
      }
    }

    assertThat(decideAndRecord()).hasSize(startedByReference);
  }

  private static StepSpecification step(int estimateMilliseconds) {
    return StepSpecification.builder()
        .uses(1_000, 1, 0)
        .estimateMilliseconds(estimateMilliseconds)
        .build();
  }

  private static StepSpecification gang(int members) {
    return StepSpecification.builder()
        .taskCount(members)
        .uses(1_000, 1, 0)
        .gang(true)
        .singleRack(true)
        .build();
  }

  private void addWorker(String id, int millicores, String rack) {
    workers.add(
        new Worker(
            id,
            1,
            "host-" + id,
            "p",
            id + ":1",
            "zone",
            new Worker.Capacity(millicores, 1_000, 0),
            ImmutableList.of("a", rack),
            false));
  }

  private void submit(String job, long objective, StepSpecification... steps) {
    JobSpecification specification =
        new JobSpecification("x", ImmutableList.copyOf(steps), 1, 0, 0);
    jobRegistry.apply(
        new AcceptJob(job, "q", specification, new Limits("p", 0, 3, objective)),
        new ApplyContext(++index, now));
  }

  private SchedulingResult decideOnly() {
    List<FreeCapacity> candidates = new ArrayList<>();
    for (Worker worker : workers) {
      FreeCapacity candidate =
          new FreeCapacity(
              worker,
              false,
              failedTasksByWorker.getOrDefault(worker.id(), ImmutableSet.of()),
              maximumStarts);
      jobRegistry.boundTo(worker.id()).forEach(candidate::reserve);
      candidates.add(candidate);
    }
    return scheduler.decide(jobRegistry.active(), candidates, now, now.toEpochMilli());
  }

  private ImmutableList<RunStart> decideAndRecord() {
    ImmutableList<RunStart> starts = decideOnly().starts();
    assertThat(starts.stream().allMatch(start -> TaskId.parse(start.task()).isPresent())).isTrue();
    jobRegistry.apply(new RecordStarts(starts), new ApplyContext(++index, now));
    return starts;
  }
}
