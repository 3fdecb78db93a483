package org.verbenawheel.gateway;

import com.google.common.flogger.FluentLogger;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.verbenawheel.event.Event;
import org.verbenawheel.event.EventLine;
import org.verbenawheel.execution.CommandSink;
import org.verbenawheel.gateway.QueueAnswer.Outcome;
import org.verbenawheel.job.Job;
import org.verbenawheel.job.JobCommands.AcceptJob;
import org.verbenawheel.job.JobCommands.CancelJob;
import org.verbenawheel.job.JobCommands.CancellationRefused;
import org.verbenawheel.job.JobCommands.JobReply;
import org.verbenawheel.job.JobCommands.Limits;
import org.verbenawheel.job.JobRegistry;
import org.verbenawheel.job.JobSpecification;
import org.verbenawheel.queue.FleetConfiguration;
import org.verbenawheel.queue.FleetConfigurationState;
import org.verbenawheel.queue.QueueRoute;
import org.verbenawheel.replication.CommandNotCommittedException;
import org.verbenawheel.replication.CommandReply;
import org.verbenawheel.replication.CommandTooLongException;
import org.verbenawheel.replication.ControlCommand;
import org.verbenawheel.request.RunVerdict;

/**
 * Handles callers' requests on the leader. Called on the state thread after the process has
 * confirmed that it is still the leader, so an answer reflects every change acknowledged before.
 */
public final class QueueService {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final FleetConfigurationState configuration;
  private final JobRegistry jobRegistry;
  private final CommandSink sink;

  /**
   * Creates the service.
   *
   * @param configuration the queues in the replicated state
   * @param jobRegistry the jobs in the replicated state
   * @param sink commits submissions and cancellations
   */
  public QueueService(
      FleetConfigurationState configuration, JobRegistry jobRegistry, CommandSink sink) {
    this.configuration = configuration;
    this.jobRegistry = jobRegistry;
    this.sink = sink;
  }

  /**
   * Handles one request. A submission or cancellation is answered once it is committed.
   *
   * @param call the request
   * @return the answer; the future never completes with an exception
   */
  public CompletableFuture<QueueAnswer> answer(QueueCall call) {
    Optional<FleetConfiguration> inForce = configuration.current();
    if (inForce.isEmpty()) {
      return refuse(
          call,
          Outcome.NOT_CONFIGURED,
          "no configuration is installed yet: send one to the control processes");
    }
    Optional<QueueRoute> found = configuration.queues().queueFor(call.host(), call.path());
    if (found.isEmpty()) {
      return refuse(
          call,
          Outcome.NO_SUCH_QUEUE,
          "configuration version "
              + inForce.get().version()
              + " has no queue for this host name and path");
    }
    QueueRoute queue = found.get();
    String job = call.path().substring(queue.pathPrefix().length());
    return switch (call.operation()) {
      case SUBMIT -> submit(call, queue, job);
      case READ -> CompletableFuture.completedFuture(read(queue, job));
      case CANCEL -> cancel(queue, job);
    };
  }

  private static CompletableFuture<QueueAnswer> refuse(
      QueueCall call, Outcome outcome, String detail) {
    logger.atInfo().log(
        "%s",
        EventLine.of(Event.QUEUE_CALL_REFUSED)
            .with("operation", call.operation())
            .with("host", call.host())
            .with("path", call.path())
            .with("outcome", outcome)
            .with("detail", detail));
    return CompletableFuture.completedFuture(QueueAnswer.of(outcome, detail));
  }

  private CompletableFuture<QueueAnswer> submit(QueueCall call, QueueRoute queue, String job) {
    if (!JobIds.isAcceptable(job)) {
      return refuse(call, Outcome.INVALID, "a job's id must be 1 to 64 letters, digits, - or _");
    }
    Optional<JobSpecification> specification = call.specification();
    if (specification.isEmpty() || !specification.get().problems().isEmpty()) {
      String problems =
          specification
              .map(JobSpecification::problems)
              .map(Object::toString)
              .orElse("the request has no job");
      return refuse(call, Outcome.INVALID, problems);
    }
    AcceptJob accept =
        new AcceptJob(
            job, queue.address(), specification.get(), limitsOf(queue, specification.get()));
    return commit(accept)
        .thenApply(
            answer -> {
              logger.atInfo().log(
                  "%s",
                  EventLine.of(Event.JOB_ACCEPTED)
                      .with("job", job)
                      .with("queue", queue.name())
                      .with("pool", queue.pool())
                      .with("steps", accept.specification().steps().size())
                      .with("objective_ms", accept.limits().objectiveMilliseconds())
                      .with("outcome", answer.outcome()));
              // answerOf maps the reply for a known job to CANCELLED, whichever command it answers.
              return answer.outcome() == Outcome.CANCELLED
                  ? QueueAnswer.of(Outcome.ACCEPTED)
                  : answer;
            });
  }

  private static Limits limitsOf(QueueRoute queue, JobSpecification specification) {
    long objective =
        (long) (queue.stretch() * specification.criticalPathMilliseconds())
            + queue.targetLatencyMilliseconds();
    return new Limits(queue.pool(), queue.priority(), queue.maximumAttempts(), objective);
  }

  private QueueAnswer read(QueueRoute queue, String job) {
    if (job.isEmpty()) {
      return QueueAnswer.ofQueue(jobRegistry.countQueued(queue.address()));
    }
    return find(queue, job)
        .map(found -> QueueAnswer.ofJob(found.phase()))
        .orElseGet(() -> QueueAnswer.of(Outcome.NO_SUCH_JOB));
  }

  private Optional<Job> find(QueueRoute queue, String job) {
    return jobRegistry.find(job).filter(found -> found.queue().equals(queue.address()));
  }

  /**
   * Cancels a job. The cancellation of a job that is not known is committed too: its submission may
   * still be on its way, and must not run after the answer.
   */
  private CompletableFuture<QueueAnswer> cancel(QueueRoute queue, String job) {
    if (!JobIds.isAcceptable(job)) {
      return CompletableFuture.completedFuture(QueueAnswer.of(Outcome.NO_SUCH_JOB));
    }
    return commit(new CancelJob(job, queue.address()))
        .thenApply(
            answer -> {
              logger.atInfo().log(
                  "%s",
                  EventLine.of(Event.JOB_CANCELLED)
                      .with("job", job)
                      .with("queue", queue.name())
                      .with("outcome", answer.outcome()));
              return answer;
            });
  }

  private CompletableFuture<QueueAnswer> commit(ControlCommand command) {
    return sink.commit(command)
        .handle((reply, failure) -> reply != null ? answerOf(reply) : answerOf(failure));
  }

  private static QueueAnswer answerOf(CommandReply reply) {
    if (reply instanceof CancellationRefused) {
      return QueueAnswer.of(
          Outcome.NOT_DONE,
          "too many jobs were cancelled before their submission: cancel it again later");
    }
    boolean known = reply instanceof JobReply jobReply && jobReply.known();
    return QueueAnswer.of(known ? Outcome.CANCELLED : Outcome.NO_SUCH_JOB);
  }

  private static QueueAnswer answerOf(Throwable failure) {
    Optional<CommandTooLongException> tooLong = CommandTooLongException.causeOf(failure);
    if (tooLong.isPresent()) {
      return QueueAnswer.of(Outcome.INVALID, String.valueOf(tooLong.get().getMessage()));
    }
    boolean notRun =
        failure instanceof CommandNotCommittedException notCommitted
            && notCommitted.verdict() == RunVerdict.NOT_RUN;
    return QueueAnswer.of(notRun ? Outcome.NOT_DONE : Outcome.UNKNOWN, String.valueOf(failure));
  }
}
