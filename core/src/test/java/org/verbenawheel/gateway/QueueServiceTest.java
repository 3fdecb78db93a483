package org.verbenawheel.gateway;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.verbenawheel.gateway.QueueAnswer.Outcome;
import org.verbenawheel.gateway.QueueCall.Operation;
import org.verbenawheel.job.JobPhase;
import org.verbenawheel.job.JobRegistry;
import org.verbenawheel.job.JobSpecification;
import org.verbenawheel.job.StepSpecification;
import org.verbenawheel.queue.FleetConfiguration;
import org.verbenawheel.queue.FleetConfigurationState;
import org.verbenawheel.queue.InstallConfiguration;
import org.verbenawheel.queue.QueueRoute;
import org.verbenawheel.queue.WorkerPool;
import org.verbenawheel.replication.ApplyContext;
import org.verbenawheel.replication.CommandNotCommittedException;
import org.verbenawheel.replication.CommandReply;
import org.verbenawheel.replication.CommandTooLongException;
import org.verbenawheel.replication.ControlCommand;
import org.verbenawheel.request.RunVerdict;

/** Tests {@link QueueService}. */
final class QueueServiceTest {
  private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
  private static final JobSpecification JOB =
      new JobSpecification("x", ImmutableList.of(StepSpecification.builder().build()), 1, 0, 0);

  private final FleetConfigurationState configuration = new FleetConfigurationState();
  private final JobRegistry jobRegistry = new JobRegistry(Duration.ofMinutes(2));
  private final QueueService service = new QueueService(configuration, jobRegistry, this::commit);
  private Optional<RunVerdict> commitFailure = Optional.empty();
  private long index;

  @BeforeEach
  void configure() {
    install(1, "/a/");
  }

  @Test
  void jobIsStoredBeforeItIsAccepted() {
    assertThat(submit("/a/j1")).isEqualTo(Outcome.ACCEPTED);
    assertThat(jobRegistry.find("j1")).isPresent();
  }

  @Test
  void jobWhoseCommitFailsIsNotAccepted() {
    commitFailure = Optional.of(RunVerdict.NOT_RUN);
    assertThat(submit("/a/j1")).isEqualTo(Outcome.NOT_DONE);

    commitFailure = Optional.of(RunVerdict.MAY_HAVE_RUN);
    assertThat(submit("/a/j1")).isEqualTo(Outcome.UNKNOWN);
  }

  @Test
  void resentJobIsAcceptedAndStaysCancelled() {
    submit("/a/j1");
    assertThat(answerTo(Operation.CANCEL, "/a/j1").outcome()).isEqualTo(Outcome.CANCELLED);

    assertThat(submit("/a/j1")).isEqualTo(Outcome.ACCEPTED);
    assertThat(answerTo(Operation.READ, "/a/j1").phase()).hasValue(JobPhase.CANCELLED);
  }

  // UNASKED, review/9: the answer to a cancelling binds the future, also for an unknown id.
  @Test
  void jobThatArrivesAfterItsCancellingWasAnsweredIsCancelled() {
    assertThat(answerTo(Operation.CANCEL, "/a/j1").outcome()).isEqualTo(Outcome.NO_SUCH_JOB);
    assertThat(answerTo(Operation.READ, "/a/j1").outcome()).isEqualTo(Outcome.NO_SUCH_JOB);

    assertThat(submit("/a/j1")).isEqualTo(Outcome.ACCEPTED);

    assertThat(jobRegistry.active()).isEmpty();
    assertThat(answerTo(Operation.READ, "/a/j1").phase()).hasValue(JobPhase.CANCELLED);
    assertThat(answerTo(Operation.CANCEL, "/a/j1").outcome()).isEqualTo(Outcome.CANCELLED);
  }

  @Test
  void cancellingOfAnUnknownJobIsNotAnsweredBeforeItIsCommitted() {
    commitFailure = Optional.of(RunVerdict.NOT_RUN);

    assertThat(answerTo(Operation.CANCEL, "/a/j1").outcome()).isEqualTo(Outcome.NOT_DONE);
  }

  @Test
  void unknownQueueAndUnknownJobHaveTheirOwnOutcomes() {
    assertThat(submit("/b/j1")).isEqualTo(Outcome.NO_SUCH_QUEUE);
    assertThat(answerTo(Operation.READ, "/a/j1").outcome()).isEqualTo(Outcome.NO_SUCH_JOB);
    assertThat(answerTo(Operation.CANCEL, "/a/j1").outcome()).isEqualTo(Outcome.NO_SUCH_JOB);
  }

  @Test
  void jobWithoutStepsIsInvalid() {
    JobSpecification empty = new JobSpecification("x", ImmutableList.of(), 1, 0, 0);
    QueueCall call = new QueueCall(Operation.SUBMIT, "h", "/a/j1", Optional.of(empty));

    assertThat(service.answer(call).join().outcome()).isEqualTo(Outcome.INVALID);
  }

  /** A task's id is built from its job's id with dots, so a job's id can't contain one. */
  @Test
  void jobIdWithADotOrWithoutCharactersIsInvalid() {
    assertThat(submit("/a/one.two")).isEqualTo(Outcome.INVALID);
    assertThat(submit("/a/")).isEqualTo(Outcome.INVALID);
  }

  @Test
  void readOfAQueueReturnsTheNumberOfWaitingJobs() {
    submit("/a/j1");
    submit("/a/j2");

    assertThat(answerTo(Operation.READ, "/a/").waitingJobs()).isEqualTo(2);
  }

  @Test
  void configurationWithALowerVersionIsIgnored() {
    install(3, "/c/");
    install(2, "/b/");

    assertThat(submit("/b/j1")).isEqualTo(Outcome.NO_SUCH_QUEUE);
    assertThat(submit("/c/j1")).isEqualTo(Outcome.ACCEPTED);
  }

  private void install(long version, String prefix) {
    QueueRoute queue =
        new QueueRoute("q", "h", prefix, "p", 3_000, 0, 3, 1.6, 600, Optional.empty());
    FleetConfiguration newConfiguration =
        new FleetConfiguration(
            version,
            ImmutableList.of(queue),
            ImmutableList.of(new WorkerPool("p", false, true)),
            "{}");
    commit(new InstallConfiguration(newConfiguration)).join();
  }

  // A caller that is told to try again would send the same refused request until it gives up.
  @Test
  void jobThatNoCommandCanHoldIsInvalid() {
    QueueService refusing =
        new QueueService(
            configuration,
            jobRegistry,
            command ->
                CompletableFuture.<CommandReply>failedFuture(new CommandTooLongException(2_000_000))
                    .whenComplete((reply, failure) -> {}));

    QueueAnswer answer =
        refusing.answer(new QueueCall(Operation.SUBMIT, "h", "/a/j1", Optional.of(JOB))).join();

    assertThat(answer.outcome()).isEqualTo(Outcome.INVALID);
    assertThat(answer.detail()).contains("1048576");
  }

  private CompletableFuture<CommandReply> commit(ControlCommand command) {
    if (commitFailure.isPresent()) {
      return CompletableFuture.failedFuture(
          new CommandNotCommittedException(commitFailure.get(), "commit failed by the test"));
    }
    ApplyContext context = new ApplyContext(++index, NOW);
    return CompletableFuture.completedFuture(
        jobRegistry.commandKinds().contains(command.getClass())
            ? jobRegistry.apply(command, context)
            : configuration.apply(command, context));
  }

  private Outcome submit(String path) {
    return service
        .answer(new QueueCall(Operation.SUBMIT, "h", path, Optional.of(JOB)))
        .join()
        .outcome();
  }

  private QueueAnswer answerTo(Operation operation, String path) {
    return service.answer(new QueueCall(operation, "h", path, Optional.empty())).join();
  }
}
