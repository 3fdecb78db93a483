package org.verbenawheel.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.verbenawheel.admission.AdmissionQueue;
import org.verbenawheel.admission.RunTimes;
import org.verbenawheel.admission.WaitEstimate;
import org.verbenawheel.admission.WorkLength;
import org.verbenawheel.configuration.ServiceSettings;
import org.verbenawheel.dispatch.DispatchMessages.Refused;
import org.verbenawheel.dispatch.DispatchMessages.Ticket;
import org.verbenawheel.request.RefusalReason;
import org.verbenawheel.retry.RetryBudget;
import org.verbenawheel.routing.AttemptKey;
import org.verbenawheel.routing.SlotPool;

/**
 * Decides whether a ticket may wait for a slot or is refused at once. Work that cannot meet its
 * deadline would only take slot time from work that can. Not thread-safe.
 *
 * <p>A ticket that finds a free slot delays no other, so it is admitted whatever run times were
 * learned for its route. A route that is always refused yields no run times from which to learn
 * that it has become fast again.
 */
final class TicketAdmission {
  static final Duration MINIMUM_RETRY_AFTER = Duration.ofSeconds(1);

  private final AdmissionQueue queue;
  private final SlotPool pool;
  private final RunTimes runTimes;
  private final RetryBudget retries;
  private ServiceSettings settings;

  TicketAdmission(
      ServiceSettings settings, AdmissionQueue queue, SlotPool pool, RunTimes runTimes) {
    this.settings = settings;
    this.queue = queue;
    this.pool = pool;
    this.runTimes = runTimes;
    this.retries = new RetryBudget(settings.retryBudgetShare());
  }

  void changeSettings(ServiceSettings newSettings) {
    settings = newSettings;
    retries.changeShare(newSettings.retryBudgetShare());
  }

  /** Returns the refusal of a ticket, and counts it in the retry budget; empty if it may wait. */
  Optional<Refused> refusalOf(Instant now, Ticket ticket) {
    if (pool.endpoints().isEmpty()) {
      return Optional.of(
          refusal(
              ticket.key(),
              RefusalReason.NO_ENDPOINT,
              "no endpoint of the service is announced; send the request again",
              MINIMUM_RETRY_AFTER));
    }
    if (ticket.key().isRetry()) {
      return refusalOfRetry(ticket);
    }
    retries.addFirstAttempt();
    if (queue.size() >= settings.queueLimit()) {
      return Optional.of(
          overloadRefusal(ticket.key(), "the service's queue is full", expectedWait(now, ticket)));
    }
    Duration wait = expectedWait(now, ticket);
    Duration timeNeeded = wait.plus(runTimes.likelyLongestOf(ticket.route()));
    if (timeNeeded.toMillis() > ticket.timeLeftMilliseconds() && !canStartNow(now, ticket)) {
      return Optional.of(
          overloadRefusal(
              ticket.key(),
              "the request would miss its deadline while it waits in the queue",
              wait));
    }
    return Optional.empty();
  }

  /** Returns whether a slot is free for a ticket and no other ticket is queued. */
  boolean canStartNow(Instant now, Ticket ticket) {
    boolean isLong = runTimes.lengthOf(ticket.route()) == WorkLength.LONG;
    return queue.size() == 0 && pool.choose(isLong, ticket.avoid(), now).isPresent();
  }

  /**
   * Returns how long before its deadline a queued ticket is refused: the likely run time of its
   * route, or zero if it can start now.
   */
  Duration reservedRunTime(Instant now, Ticket ticket) {
    return canStartNow(now, ticket) ? Duration.ZERO : runTimes.likelyLongestOf(ticket.route());
  }

  private Optional<Refused> refusalOfRetry(Ticket ticket) {
    if (pool.isExhausted(ticket.avoid())) {
      return Optional.of(
          refusal(
              ticket.key(),
              RefusalReason.ENDPOINT_FAILED,
              "the request failed at every endpoint of the service",
              MINIMUM_RETRY_AFTER));
    }
    if (!retries.tryTakeRetry()) {
      return Optional.of(
          refusal(
              ticket.key(),
              RefusalReason.ENDPOINT_FAILED,
              "the service's retry budget is exhausted",
              MINIMUM_RETRY_AFTER));
    }
    return Optional.empty();
  }

  private Duration expectedWait(Instant now, Ticket ticket) {
    WorkLength length = runTimes.lengthOf(ticket.route());
    int slots = pool.totalSlots() - pool.ledger().totalHeldByLongWork();
    if (length == WorkLength.LONG) {
      slots = pool.longWorkLimit();
    }
    int ahead = queue.countAhead(length, now.plusMillis(ticket.timeLeftMilliseconds()));
    return WaitEstimate.of(ahead, runTimes.meanOf(length), slots);
  }

  /** Returns a refusal for overload, with the expected wait as the time to retry after. */
  Refused overloadRefusal(AttemptKey key, String message, Duration wait) {
    Duration retryAfter = wait.compareTo(MINIMUM_RETRY_AFTER) > 0 ? wait : MINIMUM_RETRY_AFTER;
    return refusal(
        key, RefusalReason.OVERLOADED, message + "; send it again after the wait", retryAfter);
  }

  Refused refusal(AttemptKey key, RefusalReason reason, String message, Duration retryAfter) {
    return new Refused(settings.name(), key, reason, message, retryAfter.toMillis());
  }
}
