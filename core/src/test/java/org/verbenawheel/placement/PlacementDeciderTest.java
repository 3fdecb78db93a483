package org.verbenawheel.placement;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.verbenawheel.decision.DecisionJournal;
import org.verbenawheel.identity.HostName;
import org.verbenawheel.identity.JobId;
import org.verbenawheel.identity.TeamName;
import org.verbenawheel.placement.PlacementEffect.Checkpoint;
import org.verbenawheel.placement.PlacementEffect.Refuse;
import org.verbenawheel.placement.PlacementEffect.Start;
import org.verbenawheel.platform.Resources;

/** Tests {@link PlacementDecider}. */
final class PlacementDeciderTest {
  private static final TeamName TEAM = new TeamName("foundry");
  private static final ProfileName PROFILE = new ProfileName("wear-report");
  private static final Resources WORKER = new Resources(32, 65_536, 0);
  private static final Resources ACCELERATED_WORKER = new Resources(32, 65_536, 4);
  private static final Instant NOW = Instant.parse("2026-12-04T08:00:00Z");
  private static final long SEED_SPREAD = 0x9e3779b97f4a7c15L;

  private final DecisionJournal journal = new DecisionJournal(100);
  private final PlacementDecider decider = decider(2, ImmutableMap.of());

  private PlacementDecider decider(int plainWorkers, ImmutableMap<TeamName, Resources> quotas) {
    ImmutableMap.Builder<HostName, Resources> workers = ImmutableMap.builder();
    workers.put(new HostName("accelerated"), ACCELERATED_WORKER);
    for (int number = 0; number < plainWorkers; number++) {
      workers.put(worker(number), WORKER);
    }
    return new PlacementDecider(workers.buildOrThrow(), quotas, journal);
  }

  private static HostName worker(int number) {
    return new HostName("worker-" + number);
  }

  private static PlacementJob job(int number, Urgency urgency, int processors, int accelerators) {
    return new PlacementJob(
        new JobId("job-" + number),
        TEAM,
        PROFILE,
        urgency,
        new Resources(processors, processors * 1_024L, accelerators));
  }

  private static PlacementJob job(int number, int processors) {
    return job(number, Urgency.NORMAL, processors, 0);
  }

  private static HostName workerOf(ImmutableList<PlacementEffect> effects) {
    assertThat(effects).hasSize(1);
    return ((Start) effects.get(0)).worker();
  }

  @Test
  void refusesAJobLargerThanAnyWorkerAndStartsTheNext() {
    ImmutableList<PlacementEffect> effects = decider.submit(job(1, 33), NOW);
    Refuse refuse = (Refuse) effects.get(0);
    assertThat(refuse.reason()).isEqualTo(PlacementRefusalReason.LARGER_THAN_ANY_WORKER);
    assertThat(refuse.message()).contains("ask for less");
    assertThat(journal.recent()).hasSize(1);
    assertThat(decider.submit(job(2, 32), NOW)).hasSize(1);
    assertThat(decider.waiting()).isEqualTo(0);
  }

  @Test
  void jobThatDoesNotFitDoesNotBlockOthers() {
    decider.submit(job(1, 20), NOW);
    decider.submit(job(2, 20), NOW);
    decider.submit(job(3, 20), NOW);
    assertThat(decider.submit(job(4, 32), NOW)).isEmpty();
    assertThat(decider.submit(job(5, 10), NOW)).hasSize(1);
    assertThat(workerOf(decider.runEnded(new JobId("job-3"), RunOutcome.DONE, NOW)))
        .isEqualTo(new HostName("accelerated"));
  }

  @Test
  void keepsWorkersWithAcceleratorsForJobsThatNeedThem() {
    assertThat(workerOf(decider.submit(job(1, 32), NOW))).isEqualTo(worker(0));
    assertThat(workerOf(decider.submit(job(2, Urgency.NORMAL, 1, 1), NOW)))
        .isEqualTo(new HostName("accelerated"));
  }

  @Test
  void interruptsJobsForUrgentOnesAndStartsThoseFirst() {
    for (int number = 0; number < 3; number++) {
      decider.submit(job(number, Urgency.INTERRUPTIBLE, 32, 0), NOW);
    }
    decider.submit(job(10, 32), NOW);
    ImmutableList<PlacementEffect> checkpoints =
        decider.submit(job(11, Urgency.URGENT, 32, 0), NOW);
    ImmutableList<PlacementEffect> moreCheckpoints =
        decider.submit(job(12, Urgency.URGENT, 32, 0), NOW);
    assertThat(checkpoints).containsExactly(new Checkpoint(new JobId("job-0"), worker(0)));
    assertThat(moreCheckpoints).containsExactly(new Checkpoint(new JobId("job-1"), worker(1)));
    ImmutableList<PlacementEffect> started =
        decider.runEnded(new JobId("job-0"), RunOutcome.CHECKPOINTED, NOW);
    assertThat(started.get(0).job()).isEqualTo(new JobId("job-11"));
    assertThat(decider.waiting()).isEqualTo(3);
  }

  @Test
  void reservesWhatInterruptedJobsFreeForTheUrgentJob() {
    for (int number = 0; number < 6; number++) {
      decider.submit(job(number, Urgency.INTERRUPTIBLE, 16, 0), NOW);
    }
    decider.submit(job(10, Urgency.INTERRUPTIBLE, 16, 0), NOW);
    assertThat(decider.submit(job(11, Urgency.URGENT, 32, 0), NOW)).hasSize(2);
    assertThat(decider.runEnded(new JobId("job-0"), RunOutcome.CHECKPOINTED, NOW)).isEmpty();
    assertThat(decider.submit(job(12, 1), NOW)).isEmpty();
    ImmutableList<PlacementEffect> started =
        decider.runEnded(new JobId("job-1"), RunOutcome.CHECKPOINTED, NOW);
    assertThat(started).hasSize(1);
    assertThat(started.get(0).job()).isEqualTo(new JobId("job-11"));
  }

  @Test
  void keepsTeamsWithinTheirQuotasAndRefusesJobsLargerThanAQuota() {
    PlacementDecider bounded = decider(2, ImmutableMap.of(TEAM, new Resources(16, 65_536, 0)));
    assertThat(bounded.submit(job(1, 16), NOW)).hasSize(1);
    assertThat(bounded.submit(job(2, 16), NOW)).isEmpty();
    Refuse refuse = (Refuse) bounded.submit(job(3, 17), NOW).get(0);
    assertThat(refuse.reason()).isEqualTo(PlacementRefusalReason.LARGER_THAN_QUOTA);
    assertThat(workerOf(bounded.runEnded(new JobId("job-1"), RunOutcome.DONE, NOW)))
        .isEqualTo(worker(0));
  }

  @Test
  void quarantinesAWorkerOnWhichAllJobsFailAndReleasesItLater() {
    for (int number = 0; number < Quarantine.CONSECUTIVE_FAILED_JOBS; number++) {
      assertThat(workerOf(decider.submit(job(number, 32), NOW))).isEqualTo(worker(0));
      decider.runEnded(new JobId("job-" + number), RunOutcome.FAILED, NOW);
      decider.cancel(new JobId("job-" + number));
      decider.runEnded(new JobId("job-" + number), RunOutcome.CANCELLED, NOW);
    }
    assertThat(workerOf(decider.submit(job(9, 32), NOW))).isEqualTo(worker(1));
    decider.tick(NOW.plus(Quarantine.FIRST_DURATION));
    assertThat(workerOf(decider.submit(job(8, 32), NOW))).isEqualTo(worker(0));
    assertThat(journal.recent().get(0).outcome()).isEqualTo("quarantine");
  }

  @Test
  void estimatesDemandFromReportedUsage() {
    for (int number = 0; number < 4; number++) {
      decider.submit(job(number, 32), NOW);
      decider.reportUsage(new JobId("job-" + number), new Resources(4, 2_048, 0), NOW);
      decider.runEnded(new JobId("job-" + number), RunOutcome.DONE, NOW);
    }
    Start start = (Start) decider.submit(job(5, 32), NOW).get(0);
    assertThat(start.granted()).isEqualTo(new Resources(5, 2_560, 0));
  }

  @Test
  void restartsAJobOnAnotherWorkerWhenItsLeaseExpires() {
    assertThat(workerOf(decider.submit(job(1, 32), NOW))).isEqualTo(worker(0));
    decider.reportUsage(new JobId("job-1"), WORKER, NOW.plusSeconds(30));
    assertThat(decider.tick(NOW.plus(PlacementDecider.LEASE))).isEmpty();
    ImmutableList<PlacementEffect> moved =
        decider.tick(NOW.plusSeconds(30).plus(PlacementDecider.LEASE));
    assertThat(workerOf(moved)).isEqualTo(worker(1));
    assertThat(workerOf(decider.submit(job(2, 32), NOW))).isEqualTo(new HostName("accelerated"));
    decider.submit(job(3, 32), NOW);
    assertThat(workerOf(decider.uncordon(worker(0), NOW))).isEqualTo(worker(0));
  }

  @Test
  void refusesAJobAfterItsLastAttemptFailed() {
    ImmutableList<PlacementEffect> effects = decider.submit(job(1, 1), NOW);
    for (int attempt = 0; attempt < 3; attempt++) {
      assertThat(effects.get(0)).isInstanceOf(Start.class);
      effects = decider.runEnded(new JobId("job-1"), RunOutcome.FAILED, NOW);
    }
    assertThat(((Refuse) effects.get(0)).reason())
        .isEqualTo(PlacementRefusalReason.FAILS_EVERYWHERE);
  }

  static LongStream seeds() {
    return LongStream.range(0, 300);
  }

  /** Compares with a plain first fit that scans every worker and every waiting job. */
  @ParameterizedTest
  @MethodSource("seeds")
  void startsAJobWheneverFirstFitFindsAWorkerForIt(long seed) {
    Random random = new Random(seed * SEED_SPREAD);
    Map<JobId, Start> runs = new HashMap<>();
    Map<JobId, Resources> waiting = new TreeMap<>();
    Map<HostName, Resources> free = new HashMap<>();
    free.put(worker(0), WORKER);
    free.put(worker(1), WORKER);
    free.put(new HostName("accelerated"), ACCELERATED_WORKER);
    for (int step = 0; step < 60; step++) {
      ImmutableList<PlacementEffect> effects;
      if (runs.isEmpty() || random.nextInt(3) > 0) {
        PlacementJob job = job(step, Urgency.NORMAL, 1 + random.nextInt(32), random.nextInt(2));
        waiting.put(job.id(), job.declared());
        effects = decider.submit(job, NOW);
      } else {
        JobId oldest = runs.keySet().stream().sorted().findFirst().orElseThrow();
        Start ended = Objects.requireNonNull(runs.remove(oldest));
        free.merge(ended.worker(), ended.granted(), Resources::plus);
        effects = decider.runEnded(ended.job(), RunOutcome.DONE, NOW);
      }
      for (PlacementEffect effect : effects) {
        Start start = (Start) effect;
        Resources left = free.getOrDefault(start.worker(), Resources.NONE);
        assertWithMessage("overfilled, seed %s", seed).that(left.holds(start.granted())).isTrue();
        free.put(start.worker(), left.minus(start.granted()));
        runs.put(start.job(), start);
        waiting.remove(start.job());
      }
      assertWithMessage("a waiting job fits, seed %s step %s", seed, step)
          .that(
              waiting.values().stream()
                  .anyMatch(demand -> free.values().stream().anyMatch(left -> left.holds(demand))))
          .isFalse();
    }
  }
}
