package org.verbenawheel.execution;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.verbenawheel.event.Event;
import org.verbenawheel.event.EventLine;
import org.verbenawheel.job.Job;
import org.verbenawheel.job.Task;
import org.verbenawheel.queue.AdvicePolicy;
import org.verbenawheel.worker.Worker;

/**
 * Asks the placement adviser which workers may run the steps that wait, one question at a time.
 * Steps with the fewest approved workers go first, so that a step with many tasks does not delay
 * the others. Confined to the state thread.
 */
final class AdviceRequests {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * Upper limit of workers in one question: the adviser takes longer with each, and most steps need
   * fewer.
   */
  private static final int MAXIMUM_WORKERS = 30;

  /** Lower limit of workers in one question, since some of them will not be approved. */
  private static final int MINIMUM_WORKERS = 4;

  /** How long an answer may take beyond the adviser's own time. */
  private static final Duration TRANSIT_ALLOWANCE = Duration.ofSeconds(1);

  private static final Duration RETRY_DELAY = Duration.ofMillis(300);

  private final FleetContext context;
  private final PlacementAdviser adviser;
  private final Function<Job, Optional<AdvicePolicy>> policies;
  private final Runnable onApproved;
  private boolean requestInFlight;
  private Instant nextRequestAt;

  /**
   * Creates the requests of one leadership.
   *
   * @param policies returns how the adviser of a job's queue answers; empty if the queue has none
   * @param onApproved runs after each answer, since it may have approved workers
   */
  AdviceRequests(
      FleetContext context,
      PlacementAdviser adviser,
      Function<Job, Optional<AdvicePolicy>> policies,
      Runnable onApproved) {
    this.context = context;
    this.adviser = adviser;
    this.policies = policies;
    this.onApproved = onApproved;
    this.nextRequestAt = context.leadingSince();
  }

  /** Returns which workers the policy of a task's queue lets run the tasks of its step now. */
  Predicate<Worker> permittedWorkers(Task task) {
    if (policies.apply(task.job()).isEmpty()) {
      return worker -> true;
    }
    return worker -> ticket(task, worker).isPresent();
  }

  /**
   * Returns the ticket that the start order of a task must carry; empty if its queue needs none or
   * if no valid one is cached.
   */
  Optional<String> ticket(Task task, Worker worker) {
    return policies
        .apply(task.job())
        .flatMap(
            policy -> context.adviceCache().ticket(task.id().stepText(), worker, context.now()));
  }

  /**
   * Sends the next question, unless one is in flight or a failed one may not be repeated yet.
   *
   * @param workersOf returns the workers that could be given tasks of a job
   */
  void askNext(Function<Job, List<Worker>> workersOf) {
    Instant now = context.now();
    if (requestInFlight || now.isBefore(nextRequestAt)) {
      return;
    }
    Set<String> steps = new HashSet<>();
    Optional<Question> next = Optional.empty();
    for (Job job : context.jobRegistry().active()) {
      Optional<AdvicePolicy> policy = policies.apply(job);
      if (policy.isPresent()) {
        for (Question question : questions(job, policy.get(), workersOf.apply(job), now)) {
          steps.add(question.step());
          if (question.isNeeded()
              && next.filter(other -> !question.hasPriorityOver(other)).isEmpty()) {
            next = Optional.of(question);
          }
        }
      }
    }
    context.adviceCache().retainSteps(steps);
    next.ifPresent(this::ask);
  }

  private List<Question> questions(
      Job job, AdvicePolicy policy, List<Worker> workers, Instant now) {
    List<Question> questions = new ArrayList<>();
    for (int occurrence = 0; occurrence < job.specification().occurrences(); occurrence++) {
      for (int step = 0; step < job.specification().steps().size(); step++) {
        if (!job.isDone(occurrence, step) && job.isReady(occurrence, step)) {
          questions.add(question(job.tasks(occurrence, step), policy, workers, now));
        }
      }
    }
    return questions;
  }

  private Question question(
      ImmutableList<Task> tasks, AdvicePolicy policy, List<Worker> workers, Instant now) {
    String step = tasks.get(0).id().stepText();
    int waiting = (int) tasks.stream().filter(task -> task.phase() == Task.Phase.WAITING).count();
    int approved =
        (int)
            workers.stream()
                .filter(worker -> context.adviceCache().ticket(step, worker, now).isPresent())
                .count();
    int limit = Math.min(MAXIMUM_WORKERS, Math.max(MINIMUM_WORKERS, 2 * waiting));
    ImmutableList<Worker> withoutAdvice =
        workers.stream()
            .filter(worker -> context.adviceCache().needsAdvice(step, worker, now))
            .limit(limit)
            .collect(ImmutableList.toImmutableList());
    return new Question(step, policy, waiting, approved, withoutAdvice);
  }

  private void ask(Question question) {
    requestInFlight = true;
    Instant askedAt = context.now();
    ImmutableList<String> ids =
        question.workers().stream().map(Worker::id).collect(ImmutableList.toImmutableList());
    Duration timeout = question.policy().expectedDuration(ids.size()).plus(TRANSIT_ALLOWANCE);
    context.whenDone(
        adviser.approve(question.step(), ids, timeout),
        (tickets, failure) -> {
          requestInFlight = false;
          if (tickets == null) {
            onFailure(question, failure);
          } else {
            onAnswer(question, tickets, askedAt);
          }
        });
  }

  private void onFailure(Question question, @Nullable Throwable failure) {
    nextRequestAt = context.now().plus(RETRY_DELAY);
    logger.atWarning().log(
        "%s",
        EventLine.of(Event.PLACEMENT_ADVISED)
            .with("step", question.step())
            .with("asked", question.workers().size())
            .with("reason", String.valueOf(failure)));
  }

  private void onAnswer(Question question, ImmutableMap<String, String> tickets, Instant askedAt) {
    Instant validUntil = askedAt.plusMillis(question.policy().validityMilliseconds());
    for (Worker worker : question.workers()) {
      Optional<String> ticket = Optional.ofNullable(tickets.get(worker.id()));
      context.adviceCache().put(question.step(), worker, ticket, validUntil);
    }
    logger.atInfo().log(
        "%s",
        EventLine.of(Event.PLACEMENT_ADVISED)
            .with("step", question.step())
            .with("asked", question.workers().size())
            .with("approved", tickets.size())
            .with("valid_ms", question.policy().validityMilliseconds()));
    onApproved.run();
  }

  /**
   * A question that could be sent about one step.
   *
   * @param waiting how many tasks of the step wait
   * @param approved how many workers hold a valid ticket for the step
   * @param workers the workers to ask about
   */
  private record Question(
      String step, AdvicePolicy policy, int waiting, int approved, ImmutableList<Worker> workers) {

    boolean isNeeded() {
      return waiting > 0 && !workers.isEmpty();
    }

    boolean hasPriorityOver(Question other) {
      return approved < other.approved();
    }
  }
}
