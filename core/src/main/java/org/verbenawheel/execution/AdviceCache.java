package org.verbenawheel.execution;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.verbenawheel.worker.Worker;

/**
 * Caches the placement adviser's answers about steps and workers during one leadership. Confined to
 * the state thread.
 */
final class AdviceCache {
  private final Map<String, Map<String, Advice>> adviceOfStep = new HashMap<>();

  /**
   * Stores the answer about one worker.
   *
   * @param step the step's name
   * @param worker the incarnation of the worker that the question named
   * @param ticket the ticket; empty if the worker may not run the step
   * @param validUntil when the worker stops accepting the ticket
   */
  void put(String step, Worker worker, Optional<String> ticket, Instant validUntil) {
    adviceOfStep
        .computeIfAbsent(step, unused -> new HashMap<>())
        .put(worker.id(), new Advice(worker.bornAtMilliseconds(), ticket, validUntil));
  }

  /** Returns the ticket with which a worker currently accepts tasks of a step. */
  Optional<String> ticket(String step, Worker worker, Instant now) {
    return find(step, worker)
        .filter(advice -> now.isBefore(advice.validUntil()))
        .flatMap(Advice::ticket);
  }

  /** Returns whether the adviser must be asked before a worker can run a step. */
  boolean needsAdvice(String step, Worker worker, Instant now) {
    Optional<Advice> cached = find(step, worker);
    // A refusal is permanent; only tickets expire.
    return cached.isEmpty()
        || (cached.get().ticket().isPresent() && !now.isBefore(cached.get().validUntil()));
  }

  /** Removes a ticket that its worker did not accept. */
  void remove(String step, String worker) {
    Map<String, Advice> cached = adviceOfStep.get(step);
    if (cached != null) {
      cached.remove(worker);
    }
  }

  /** Removes the answers about all other steps. */
  void retainSteps(Set<String> steps) {
    adviceOfStep.keySet().retainAll(steps);
  }

  private Optional<Advice> find(String step, Worker worker) {
    return Optional.ofNullable(adviceOfStep.get(step))
        .map(cached -> cached.get(worker.id()))
        .filter(advice -> advice.workerBornAtMilliseconds() == worker.bornAtMilliseconds());
  }

  /** The adviser's answer about one step and one incarnation of a worker. */
  private record Advice(
      long workerBornAtMilliseconds, Optional<String> ticket, Instant validUntil) {}
}
