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
import org.jspecify.annotations.Nullable;
import org.verbenawheel.event.Event;
import org.verbenawheel.event.EventLine;
import org.verbenawheel.job.Job;
import org.verbenawheel.job.Task;
import org.verbenawheel.queue.AdvicePolicy;
import org.verbenawheel.worker.Worker;

/**
 * Asks the placement adviser about the steps that wait for workers, one question at a time. Steps
 * that no worker may run yet go first, so that a step with many tasks keeps no other waiting.
 * Belongs to the state thread.
 */
final class AdviceRequests {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** The adviser takes longer with each worker named, and most steps are narrower. */
  private static final int MOST_WORKERS = 30;

  /** The least that one question names: some of the workers will not be allowed. */
  private static final int FEWEST_WORKERS = 4;

  /** What an answer may take beyond the adviser's own time. */
  private static final Duration TRANSIT = Duration.ofSeconds(1);

  private static final Duration RETRY = Duration.ofMillis(300);

  private final FleetContext context;
  private final PlacementAdviser adviser;
  private final Function<Job, Optional<AdvicePolicy>> policyOf;
  private final Runnable onApproved;
  private boolean asking;
  private Instant nextAt;

  /**
   * Makes it.
   *
   * @param policyOf tells how the adviser of a job's queue answers; empty if it has none
   * @param onApproved called when workers were approved
   */
  AdviceRequests(
      FleetContext context,
      PlacementAdviser adviser,
      Function<Job, Optional<AdvicePolicy>> policyOf,
      Runnable onApproved) {
    this.context = context;
    this.adviser = adviser;
    this.policyOf = policyOf;
    this.onApproved = onApproved;
    this.nextAt = context.since();
  }

  /** Returns whether a worker may be given a task now. */
  boolean permits(Task task, Worker worker) {
    return policyOf.apply(task.job()).isEmpty() || ticket(task, worker).isPresent();
  }

  /** Returns the ticket that an order to start a task must carry, if its queue asks for one. */
  Optional<String> ticket(Task task, Worker worker) {
    return policyOf
        .apply(task.job())
        .flatMap(policy -> context.tickets().ticket(task.id().stepText(), worker, context.now()));
  }

  /**
   * Asks the next question, unless one is under way.
   *
   * @param workersOf returns the workers that might be given tasks of a job
   */
  void askNext(Function<Job, List<Worker>> workersOf) {
    Instant now = context.now();
    if (asking || now.isBefore(nextAt)) {
      return;
    }
    Set<String> steps = new HashSet<>();
    Optional<Question> best = Optional.empty();
    for (Job job : context.ledger().active()) {
      Optional<AdvicePolicy> policy = policyOf.apply(job);
      if (policy.isPresent()) {
        for (Question question : questions(job, policy.get(), workersOf.apply(job), now)) {
          steps.add(question.step());
          if (question.isNeeded() && best.filter(other -> !question.isBefore(other)).isEmpty()) {
            best = Optional.of(question);
          }
        }
      }
    }
    context.tickets().retainSteps(steps);
    best.ifPresent(this::ask);
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
                .filter(worker -> context.tickets().ticket(step, worker, now).isPresent())
                .count();
    int most = Math.min(MOST_WORKERS, Math.max(FEWEST_WORKERS, 2 * waiting));
    ImmutableList<Worker> unknown =
        workers.stream()
            .filter(worker -> context.tickets().isUnknown(step, worker, now))
            .limit(most)
            .collect(ImmutableList.toImmutableList());
    return new Question(step, policy, waiting, approved, unknown);
  }

  private void ask(Question question) {
    asking = true;
    Instant askedAt = context.now();
    ImmutableList<String> ids =
        question.workers().stream().map(Worker::id).collect(ImmutableList.toImmutableList());
    Duration timeout = question.policy().timeFor(ids.size()).plus(TRANSIT);
    context.whenDone(
        adviser.approve(question.step(), ids, timeout),
        (tickets, failure) -> {
          asking = false;
          if (tickets == null) {
            onNoAnswer(question, failure);
          } else {
            onAnswer(question, tickets, askedAt);
          }
        });
  }

  private void onNoAnswer(Question question, @Nullable Throwable failure) {
    nextAt = context.now().plus(RETRY);
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
      context.tickets().record(question.step(), worker, ticket, validUntil);
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

  /** What the adviser may be asked about one step. */
  private record Question(
      String step, AdvicePolicy policy, int waiting, int approved, ImmutableList<Worker> workers) {

    boolean isNeeded() {
      return waiting > 0 && !workers.isEmpty();
    }

    boolean isBefore(Question other) {
      return approved < other.approved();
    }
  }
}
