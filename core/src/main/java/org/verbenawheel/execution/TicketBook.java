package org.verbenawheel.execution;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.verbenawheel.worker.Worker;

/**
 * Remembers what the placement adviser said of steps and workers during one leadership. Belongs to
 * the state thread.
 */
final class TicketBook {
  private final Map<String, Map<String, Advice>> adviceOfStep = new HashMap<>();

  /**
   * Notes what the adviser said of one worker.
   *
   * @param step the step's name
   * @param worker the life of the worker that was asked about
   * @param ticket the ticket; empty if the worker may not run the step
   * @param validUntil when the worker stops accepting the ticket
   */
  void record(String step, Worker worker, Optional<String> ticket, Instant validUntil) {
    adviceOfStep
        .computeIfAbsent(step, unused -> new HashMap<>())
        .put(worker.id(), new Advice(worker.bornAtMilliseconds(), ticket, validUntil));
  }

  /** Returns the ticket with which a worker accepts tasks of a step now. */
  Optional<String> ticket(String step, Worker worker, Instant now) {
    return advice(step, worker)
        .filter(advice -> now.isBefore(advice.validUntil()))
        .flatMap(Advice::ticket);
  }

  /** Returns whether the adviser has to be asked before a worker can run a step. */
  boolean isUnknown(String step, Worker worker, Instant now) {
    Optional<Advice> known = advice(step, worker);
    // What the policy forbids it forbids for good; only tickets expire.
    return known.isEmpty()
        || (known.get().ticket().isPresent() && !now.isBefore(known.get().validUntil()));
  }

  /** Forgets a ticket that its worker did not accept. */
  void forget(String step, String worker) {
    Map<String, Advice> known = adviceOfStep.get(step);
    if (known != null) {
      known.remove(worker);
    }
  }

  /** Forgets all steps but some. */
  void retainSteps(Set<String> steps) {
    adviceOfStep.keySet().retainAll(steps);
  }

  private Optional<Advice> advice(String step, Worker worker) {
    return Optional.ofNullable(adviceOfStep.get(step))
        .map(known -> known.get(worker.id()))
        .filter(advice -> advice.born() == worker.bornAtMilliseconds());
  }

  /** The adviser's word on one step and one life of a worker. */
  private record Advice(long born, Optional<String> ticket, Instant validUntil) {}
}
