package org.verbenawheel.job;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.verbenawheel.job.JobCommands.AcceptJob;
import org.verbenawheel.job.JobCommands.CancelJob;
import org.verbenawheel.job.JobCommands.CancellationRefused;
import org.verbenawheel.job.JobCommands.JobReply;
import org.verbenawheel.job.JobCommands.Limits;
import org.verbenawheel.job.JobCommands.RecordEnds;
import org.verbenawheel.job.JobCommands.RecordStarts;
import org.verbenawheel.job.JobCommands.RunEnd;
import org.verbenawheel.job.JobCommands.RunStart;
import org.verbenawheel.replication.ApplyContext;
import org.verbenawheel.replication.CommandReply;
import org.verbenawheel.replication.ControlCommand;
import org.verbenawheel.replication.DamagedSnapshotException;

/** Tests {@link JobRegistry}. */
final class JobRegistryTest {
  private static final Duration RETENTION = Duration.ofMinutes(2);
  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
  private static final StepSpecification TASK = StepSpecification.builder().build();

  private final JobRegistry jobRegistry = new JobRegistry(RETENTION);
  private Instant now = START;
  private long index;

  @Test
  void resentJobIsStoredOnce() {
    accept("a", TASK);
    start("a.0.0.0", 1, "w");

    accept("a", TASK);

    assertThat(jobRegistry.active()).hasSize(1);
    assertThat(findTask("a.0.0.0").run()).isEqualTo(1);
  }

  @Test
  void jobCompletesWhenAllTasksAreDone() {
    accept("a", StepSpecification.builder().taskCount(2).build());
    start("a.0.0.0", 1, "w");
    start("a.0.0.1", 1, "w");

    end("a.0.0.0", 1, RunEnding.DONE);
    assertThat(phaseOf("a")).isEqualTo(JobPhase.RUNNING);
    end("a.0.0.1", 1, RunEnding.DONE);

    assertThat(phaseOf("a")).isEqualTo(JobPhase.COMPLETED);
    assertThat(jobRegistry.boundTo("w")).isEmpty();
  }

  @Test
  void endOfAnEarlierRunChangesNothing() {
    accept("a", TASK);
    start("a.0.0.0", 1, "w");
    end("a.0.0.0", 1, RunEnding.LAPSED);
    start("a.0.0.0", 2, "v");

    end("a.0.0.0", 1, RunEnding.DONE);

    assertThat(phaseOf("a")).isEqualTo(JobPhase.RUNNING);
    assertThat(findTask("a.0.0.0").worker()).hasValue("v");
  }

  @Test
  void boundTaskIsNotBoundToASecondWorker() {
    accept("a", TASK);
    start("a.0.0.0", 1, "w");

    start("a.0.0.0", 2, "v");

    assertThat(findTask("a.0.0.0").worker()).hasValue("w");
  }

  @Test
  void onlyFailedRunsCountAsAttempts() {
    accept("a", TASK);
    for (int run = 1; run <= 5; run++) {
      start("a.0.0.0", run, "w");
      end("a.0.0.0", run, RunEnding.LAPSED);
    }
    assertThat(phaseOf("a")).isEqualTo(JobPhase.RUNNING);
    for (int run = 6; run <= 8; run++) {
      start("a.0.0.0", run, "w");
      end("a.0.0.0", run, RunEnding.FAILED);
    }

    assertThat(phaseOf("a")).isEqualTo(JobPhase.FAILED);
  }

  /**
   * A gang's failures are counted on its first member, once per run. Counted once per member, the
   * six here would reach the maximum of 3 attempts.
   */
  @Test
  void failedRunOfAGangCountsAsOneAttempt() {
    accept("a", StepSpecification.builder().taskCount(3).gang(true).build());
    for (int run = 1; run <= 2; run++) {
      for (int member = 0; member < 3; member++) {
        start("a.0.0." + member, run, "w");
      }
      for (int member = 0; member < 3; member++) {
        end("a.0.0." + member, run, RunEnding.FAILED);
      }
    }

    assertThat(phaseOf("a")).isEqualTo(JobPhase.RUNNING);
  }

  @Test
  void gangIsDoneWhenOneMemberIsDone() {
    accept("a", StepSpecification.builder().taskCount(2).gang(true).build());
    start("a.0.0.0", 1, "w");
    start("a.0.0.1", 1, "v");

    end("a.0.0.0", 1, RunEnding.DONE);

    assertThat(phaseOf("a")).isEqualTo(JobPhase.COMPLETED);
    assertThat(jobRegistry.boundTo("v")).isEmpty();
  }

  @Test
  void longRunningTaskWaitsAgainAfterEveryEnd() {
    accept("a", StepSpecification.builder().longRunning(true).build());
    for (int run = 1; run <= 9; run++) {
      start("a.0.0.0", run, "w");
      end("a.0.0.0", run, run % 2 == 0 ? RunEnding.DONE : RunEnding.FAILED);
    }

    assertThat(phaseOf("a")).isEqualTo(JobPhase.RUNNING);
    assertThat(findTask("a.0.0.0").phase()).isEqualTo(Task.Phase.WAITING);
  }

  @Test
  void cancelledJobBindsNoMoreTasks() {
    accept("a", StepSpecification.builder().taskCount(2).build());
    start("a.0.0.0", 1, "w");

    JobReply reply = (JobReply) apply(new CancelJob("a", "q"));
    start("a.0.0.1", 1, "w");

    assertThat(reply.known()).isTrue();
    assertThat(phaseOf("a")).isEqualTo(JobPhase.CANCELLED);
    assertThat(jobRegistry.boundTo("w")).hasSize(1);
  }

  @Test
  void cancelThroughAnotherQueueChangesNothing() {
    accept("a", TASK);

    JobReply reply = (JobReply) apply(new CancelJob("a", "other"));

    assertThat(reply.known()).isFalse();
    assertThat(phaseOf("a")).isEqualTo(JobPhase.QUEUED);
  }

  // UNASKED, review/9: a submission that was delayed at an entry ran seconds after the cancelling
  // of its unknown id had been acknowledged.
  @Test
  void jobThatArrivesAfterItsCancellationIsStoredAsCancelled() {
    JobReply reply = (JobReply) apply(new CancelJob("a", "q"));
    assertThat(reply.known()).isFalse();
    assertThat(jobRegistry.find("a")).isEmpty();

    accept("a", TASK);
    start("a.0.0.0", 1, "w");

    assertThat(phaseOf("a")).isEqualTo(JobPhase.CANCELLED);
    assertThat(jobRegistry.active()).isEmpty();
    assertThat(jobRegistry.boundTo("w")).isEmpty();
  }

  @Test
  void earlyCancellationIsKeptInASnapshotForTheRetention() throws DamagedSnapshotException {
    apply(new CancelJob("a", "q"));
    apply(new CancelJob("b", "q"));
    JobRegistry restored = new JobRegistry(RETENTION);
    restored.restore(jobRegistry.snapshot());
    assertThat(restored.snapshot()).isEqualTo(jobRegistry.snapshot());

    now = START.plus(RETENTION);
    accept("a", TASK);
    now = START.plus(RETENTION).plusMillis(1);
    accept("b", TASK);

    assertThat(phaseOf("a")).isEqualTo(JobPhase.CANCELLED);
    assertThat(phaseOf("b")).isEqualTo(JobPhase.QUEUED);
  }

  @Test
  void earlyCancellationOfAnotherQueueChangesNothing() {
    apply(new CancelJob("a", "other"));

    accept("a", TASK);

    assertThat(phaseOf("a")).isEqualTo(JobPhase.QUEUED);
  }

  // An acknowledged cancellation must not be dropped to make room for another one.
  @Test
  void tooManyEarlyCancellationsAreRefusedUntilOlderOnesExpire() {
    for (int number = 0; number < EarlyCancellations.MAXIMUM; number++) {
      assertThat(apply(new CancelJob("c-" + number, "q"))).isEqualTo(new JobReply(false));
    }
    assertThat(apply(new CancelJob("late", "q"))).isEqualTo(new CancellationRefused());
    assertThat(apply(new CancelJob("c-1", "q"))).isEqualTo(new JobReply(false));
    accept("c-0", TASK);
    assertThat(phaseOf("c-0")).isEqualTo(JobPhase.CANCELLED);

    now = START.plus(RETENTION).plusMillis(1);

    assertThat(apply(new CancelJob("late", "q"))).isEqualTo(new JobReply(false));
  }

  @Test
  void endedJobIsDeletedOnlyAfterItsRetention() {
    accept("a", TASK);
    apply(new CancelJob("a", "q"));
    now = START.plus(RETENTION);
    accept("b", TASK);
    assertThat(jobRegistry.find("a")).isPresent();

    now = START.plus(RETENTION).plusMillis(1);
    accept("c", TASK);

    assertThat(jobRegistry.find("a")).isEmpty();
    assertThat(jobRegistry.find("b")).isPresent();
  }

  @Test
  void stepIsReadyWhenTheStepsItDependsOnAreDone() {
    accept("a", TASK, StepSpecification.builder().dependsOn(ImmutableList.of(0)).build());
    Job job = jobRegistry.find("a").orElseThrow();
    assertThat(job.isReady(0, 1)).isFalse();

    start("a.0.0.0", 1, "w");
    end("a.0.0.0", 1, RunEnding.DONE);

    assertThat(job.isReady(0, 1)).isTrue();
  }

  // A replica reads the snapshot before it may vote, so ended jobs would delay each restart.
  @Test
  void endedJobTakesLittleOfASnapshot() {
    int empty = jobRegistry.snapshot().length;
    accept("a", StepSpecification.builder().taskCount(16).build());
    int running = jobRegistry.snapshot().length - empty;

    apply(new CancelJob("a", "q"));

    assertThat(jobRegistry.snapshot().length - empty).isLessThan(running / 4);
  }

  @Test
  void endedJobWithABoundTaskKeepsItInASnapshot() throws DamagedSnapshotException {
    accept("a", TASK);
    start("a.0.0.0", 1, "w");
    apply(new CancelJob("a", "q"));
    JobRegistry restored = new JobRegistry(RETENTION);

    restored.restore(jobRegistry.snapshot());

    assertThat(restored.boundTo("w")).hasSize(1);
    assertThat(restored.find("a").orElseThrow().phase()).isEqualTo(JobPhase.CANCELLED);
  }

  @Test
  void restoredEndedJobIsKeptForTheRetention() throws DamagedSnapshotException {
    accept("a", TASK);
    start("a.0.0.0", 1, "w");
    end("a.0.0.0", 1, RunEnding.DONE);
    JobRegistry restored = new JobRegistry(RETENTION);

    restored.restore(jobRegistry.snapshot());

    assertThat(restored.find("a").orElseThrow().phase()).isEqualTo(JobPhase.COMPLETED);
    assertThat(restored.find("a").orElseThrow().isExpired(now.plus(RETENTION), RETENTION))
        .isFalse();
    assertThat(restored.active()).isEmpty();
  }

  @Test
  void restoredRegistryEqualsTheOriginal() throws DamagedSnapshotException {
    accept("a", StepSpecification.builder().taskCount(2).checkpointing(true).build());
    start("a.0.0.0", 1, "w");
    apply(new RecordEnds(ImmutableList.of(new RunEnd("a.0.0.0", 1, RunEnding.STOPPED, "saved"))));
    start("a.0.0.1", 1, "w");
    accept("b", TASK);
    apply(new CancelJob("b", "q"));

    JobRegistry restored = new JobRegistry(RETENTION);
    restored.restore(jobRegistry.snapshot());

    assertThat(restored.snapshot()).isEqualTo(jobRegistry.snapshot());
    assertThat(restored.boundTo("w")).hasSize(1);
    assertThat(restored.active()).hasSize(1);
    assertThat(restored.find(TaskId.parse("a.0.0.0").orElseThrow()).orElseThrow().checkpoint())
        .isEqualTo("saved");
  }

  private void accept(String job, StepSpecification... steps) {
    JobSpecification specification =
        new JobSpecification("x", ImmutableList.copyOf(steps), 1, 0, 0);
    apply(new AcceptJob(job, "q", specification, new Limits("p", 0, 3, 1_000)));
  }

  private void start(String task, int run, String worker) {
    apply(new RecordStarts(ImmutableList.of(new RunStart(task, run, worker))));
  }

  private void end(String task, int run, RunEnding ending) {
    apply(new RecordEnds(ImmutableList.of(new RunEnd(task, run, ending, ""))));
  }

  private CommandReply apply(ControlCommand command) {
    return jobRegistry.apply(command, new ApplyContext(++index, now));
  }

  private JobPhase phaseOf(String job) {
    return jobRegistry.find(job).orElseThrow().phase();
  }

  private Task findTask(String name) {
    return TaskId.parse(name).flatMap(jobRegistry::find).orElseThrow();
  }
}
