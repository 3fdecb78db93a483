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
import org.verbenawheel.job.JobLedger;
import org.verbenawheel.job.JobSpecification;
import org.verbenawheel.job.StepSpecification;
import org.verbenawheel.job.TaskId;
import org.verbenawheel.replication.ApplyContext;
import org.verbenawheel.worker.Worker;

/** Tests {@link JobScheduler}. */
final class JobSchedulerTest {
  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

  private final Set<String> forbidden = new HashSet<>();
  private final JobLedger ledger = new JobLedger(Duration.ofMinutes(2));
  private final JobScheduler scheduler =
      new JobScheduler(
          job -> job.limits().pool(), (task, worker) -> !forbidden.contains(worker.id()));
  private final List<Worker> workers = new ArrayList<>();
  private final Map<String, ImmutableSet<TaskId>> failed = new HashMap<>();
  private Instant now = START;
  private long index;

  @Test
  void tasksThatLastGoToTheWorkerWithTheMostRoom() {
    worker("small", 1_000, "r1");
    worker("large", 4_000, "r1");
    submit("a", 1_000, StepSpecification.builder().uses(1_000, 1, 0).longRunning(true).build());

    assertThat(decide()).containsExactly(new RunStart("a.0.0.0", 1, "large"));
  }

  @Test
  void shortTasksArePackedSoThatOtherWorkersBecomeIdle() {
    worker("large", 4_000, "r1");
    worker("small", 1_000, "r1");
    submit("a", 1_000, StepSpecification.builder().uses(1_000, 1, 0).build());

    assertThat(decide()).containsExactly(new RunStart("a.0.0.0", 1, "small"));
  }

  @Test
  void shortTasksArePackedBesideThoseThatLast() {
    worker("large", 9_000, "r1");
    worker("small", 4_000, "r1");
    submit("a", 1_000, StepSpecification.builder().uses(1_000, 1, 0).longRunning(true).build());
    decide();
    submit("b", 1_000, StepSpecification.builder().uses(1_000, 1, 0).build());

    assertThat(decide()).containsExactly(new RunStart("b.0.0.0", 1, "large"));
  }

  @Test
  void taskThatFitsOnNoWorkerIsNoShortage() {
    worker("w", 2_000, "r1");
    submit("large", 1_000, StepSpecification.builder().uses(3_000, 1, 0).build());
    submit("other", 1_000, StepSpecification.builder().requiredLabel("none").build());

    assertThat(round().shortages().getOrDefault("p", 0L)).isEqualTo(0);
  }

  @Test
  void workersThatThePolicyForbidsGetNothing() {
    worker("w", 4_000, "r1");
    worker("v", 9_000, "r1");
    forbidden.add("w");
    submit("a", 1_000, StepSpecification.builder().taskCount(9).uses(1_000, 1, 0).build());

    assertThat(decide().stream().map(RunStart::worker).distinct().toList()).containsExactly("v");
  }

  @Test
  void fullWorkersGetNothing() {
    worker("w", 2_000, "r1");
    submit("a", 1_000, StepSpecification.builder().taskCount(5).uses(1_000, 1, 0).build());

    assertThat(decide()).hasSize(2);
    assertThat(decide()).isEmpty();
  }

  @Test
  void whatIsShortIsTold() {
    worker("w", 2_000, "r1");
    submit("a", 1_000, StepSpecification.builder().taskCount(5).uses(1_000, 1, 0).build());

    assertThat(round().shortages()).containsExactly("p", 3_000L);
  }

  @Test
  void jobThatCanMeetItsObjectiveGoesBeforeALateOne() {
    worker("w", 1_000, "r1");
    submit("late", 100, step(500));
    now = START.plusMillis(150);
    submit("early", 2_000, step(500));

    assertThat(decide()).containsExactly(new RunStart("early.0.0.0", 1, "w"));
  }

  @Test
  void stepWaitsForThoseItDependsOn() {
    worker("w", 4_000, "r1");
    submit(
        "a",
        1_000,
        StepSpecification.builder().build(),
        StepSpecification.builder().dependsOn(ImmutableList.of(0)).build());

    assertThat(decide()).containsExactly(new RunStart("a.0.0.0", 1, "w"));
  }

  @Test
  void workerRunsAtMostSoManyTasksOfAStep() {
    worker("w", 9_000, "r1");
    worker("v", 9_000, "r1");
    submit("a", 1_000, StepSpecification.builder().taskCount(5).maximumPerWorker(1).build());

    assertThat(decide()).hasSize(2);
  }

  @Test
  void labelIsRequired() {
    worker("w", 9_000, "r1");
    submit("a", 1_000, StepSpecification.builder().requiredLabel("gold").build());

    assertThat(decide()).isEmpty();
  }

  @Test
  void rackOfTheDataIsPreferred() {
    worker("far", 9_000, "r1");
    worker("near", 2_000, "r2");
    submit("a", 1_000, StepSpecification.builder().preferredRack("r2").build());

    assertThat(decide()).containsExactly(new RunStart("a.0.0.0", 1, "near"));
  }

  @Test
  void taskIsTriedOnAnotherWorkerThanTheOneItFailedOn() {
    worker("bad", 9_000, "r1");
    worker("good", 2_000, "r1");
    submit("a", 1_000, StepSpecification.builder().build());
    failed.put("bad", ImmutableSet.of(new TaskId("a", 0, 0, 0)));

    assertThat(decide()).containsExactly(new RunStart("a.0.0.0", 1, "good"));
  }

  @Test
  void gangStartsWholeOrNotAtAll() {
    worker("w", 2_000, "r1");
    submit("a", 1_000, gang(3));
    assertThat(decide()).isEmpty();

    worker("v", 1_000, "r2");

    assertThat(decide()).hasSize(3);
  }

  @Test
  void gangKeepsToOneRackIfItFits() {
    worker("w1", 2_000, "r1");
    worker("w2", 1_000, "r2");
    worker("w3", 2_000, "r2");
    submit("a", 1_000, gang(3));

    assertThat(decide().stream().map(RunStart::worker).distinct().toList())
        .containsExactly("w2", "w3");
  }

  @Test
  void occurrenceWaitsForItsTime() {
    worker("w", 4_000, "r1");
    JobSpecification twice =
        new JobSpecification(
            "x",
            ImmutableList.of(StepSpecification.builder().build()),
            2,
            START.plusSeconds(1).toEpochMilli(),
            1_000);
    ledger.apply(
        new AcceptJob("a", "q", twice, new Limits("p", 0, 3, 1_000)),
        new ApplyContext(++index, now));
    assertThat(decide()).isEmpty();

    now = START.plusSeconds(1);
    assertThat(decide()).containsExactly(new RunStart("a.0.0.0", 1, "w"));
    now = START.plusSeconds(2);
    assertThat(decide()).containsExactly(new RunStart("a.1.0.0", 1, "w"));
  }

  @Test
  void lateJobWhoseLastUsefulMomentIsNearerGoesFirst() {
    worker("w", 1_000, "r1");
    submit("older", 1_000, step(2_000));
    now = START.plusMillis(500);
    submit("newer", 1_000, step(1_500));

    assertThat(decide()).containsExactly(new RunStart("older.0.0.0", 1, "w"));
  }

  @Test
  void jobThatWasGivenUpLastGoesBeforeThoseGivenUpLongAgo() {
    worker("w", 1_000, "r1");
    submit("older", 1_000, step(100));
    now = START.plusSeconds(5);
    submit("newer", 1_000, step(200));
    now = START.plusSeconds(20);

    assertThat(decide()).containsExactly(new RunStart("newer.0.0.0", 1, "w"));
  }

  @Test
  void occurrenceThatHasJustBecomeDueIsOnTimeHoweverOldItsJobIs() {
    worker("w", 1_000, "r1");
    JobSpecification timed =
        new JobSpecification(
            "x", ImmutableList.of(step(500)), 1, START.plusSeconds(60).toEpochMilli(), 0);
    ledger.apply(
        new AcceptJob("timed", "q", timed, new Limits("p", 0, 3, 1_000)),
        new ApplyContext(++index, now));
    now = START.plusSeconds(59);
    submit("late", 300, step(400));
    now = START.plusSeconds(60);

    assertThat(decide()).containsExactly(new RunStart("timed.0.0.0", 1, "w"));
  }

  @Test
  void tasksThatFillKeepAwayFromThoseThatServe() {
    worker("w", 9_000, "r1");
    worker("v", 4_000, "r1");
    submit(
        "serving",
        1_000,
        StepSpecification.builder().uses(2_000, 1, 0).serves("i", 50).longRunning(true).build());
    decide();
    submit(
        "filling",
        1_000,
        StepSpecification.builder().taskCount(3).uses(4_000, 1, 0).fillsLeftover(true).build());

    assertThat(decide().stream().map(RunStart::worker).distinct().toList()).containsExactly("v");
  }

  /** The naive way: first come, first served, on the first worker with room. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void startsAsManyTasksAsFirstComeFirstServed(long seed) {
    Random random = new Random(seed);
    for (int number = 0; number < 5; number++) {
      worker("w" + number, 4_000, "r" + number % 2);
    }
    Map<String, Integer> free = new HashMap<>();
    workers.forEach(worker -> free.put(worker.id(), 4_000));
    int naive = 0;
    for (int job = 0; job < 30; job++) {
      int count = 1 + random.nextInt(4);
      submit(
          "j" + job, 1_000, StepSpecification.builder().taskCount(count).uses(500, 1, 0).build());
      for (int task = 0; task < count; task++) {
        for (Map.Entry<String, Integer> worker : free.entrySet()) {
          if (worker.getValue() >= 500) {
            worker.setValue(worker.getValue() - 500);
            naive++;
            break;
          }
        }
      }
    }

    assertThat(decide()).hasSize(naive);
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

  private void worker(String id, int millicores, String rack) {
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
    ledger.apply(
        new AcceptJob(job, "q", specification, new Limits("p", 0, 3, objective)),
        new ApplyContext(++index, now));
  }

  private Decision round() {
    List<WorkerRoom> rooms = new ArrayList<>();
    for (Worker worker : workers) {
      WorkerRoom room =
          new WorkerRoom(worker, false, failed.getOrDefault(worker.id(), ImmutableSet.of()));
      ledger.boundTo(worker.id()).forEach(room::take);
      rooms.add(room);
    }
    return scheduler.decide(ledger.active(), rooms, now, now.toEpochMilli());
  }

  private ImmutableList<RunStart> decide() {
    ImmutableList<RunStart> starts = round().starts();
    assertThat(starts.stream().allMatch(start -> TaskId.parse(start.task()).isPresent())).isTrue();
    ledger.apply(new RecordStarts(starts), new ApplyContext(++index, now));
    return starts;
  }
}
