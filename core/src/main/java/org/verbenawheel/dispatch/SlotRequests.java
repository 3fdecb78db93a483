package org.verbenawheel.dispatch;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.verbenawheel.dispatch.DispatchMessages.Grant;
import org.verbenawheel.dispatch.DispatchMessages.HeldSlot;
import org.verbenawheel.dispatch.DispatchMessages.HoldQuery;
import org.verbenawheel.dispatch.DispatchMessages.Refused;
import org.verbenawheel.dispatch.DispatchMessages.Registration;
import org.verbenawheel.dispatch.DispatchMessages.Release;
import org.verbenawheel.dispatch.DispatchMessages.Ticket;
import org.verbenawheel.identity.EndpointId;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.identity.ServiceName;
import org.verbenawheel.request.RefusalReason;
import org.verbenawheel.routing.AttemptKey;
import org.verbenawheel.routing.AttemptReport;
import org.verbenawheel.routing.SlotLease;

/**
 * Knows which slots an entry waits for and which it holds, over all services.
 *
 * <p>Not safe for use by many threads. Completes a waiting attempt's future in the thread that
 * brings the answer.
 */
final class SlotRequests {
  /** After how long without a word a ticket is sent again. */
  static final Duration RESEND_AFTER = Duration.ofMillis(500);

  /** After how long without a word from the dispatcher a ticket is given up. */
  static final Duration UNREACHABLE_AFTER = Duration.ofSeconds(2);

  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final ProcessId self;
  private final long incarnation;
  private final Map<AttemptKey, Waiting> waiting = new HashMap<>();
  private final Map<AttemptKey, Held> held = new HashMap<>();

  SlotRequests(ProcessId self, long incarnation) {
    this.self = self;
    this.incarnation = incarnation;
  }

  /** Starts to wait for a slot. */
  Waiting ask(
      Instant now,
      ServiceName service,
      AttemptKey key,
      String route,
      Instant deadline,
      ImmutableSet<EndpointId> avoid) {
    Waiting ticket = new Waiting(service, key, route, deadline, avoid, now);
    waiting.put(key, ticket);
    return ticket;
  }

  /** Returns the message that asks for a slot. */
  Ticket messageOf(Waiting ticket, Instant now) {
    return new Ticket(
        ticket.service,
        ticket.key,
        incarnation,
        ticket.route,
        Math.max(0, Duration.between(now, ticket.deadline).toMillis()),
        ticket.avoid);
  }

  /** Stops to wait for a slot. Returns the message that says so; empty if none was awaited. */
  Optional<Release> withdraw(AttemptKey key) {
    return Optional.ofNullable(waiting.remove(key))
        .map(ticket -> new Release(ticket.service, key, AttemptReport.UNUSED));
  }

  /** Takes a grant. Returns the message that gives the slot back if nobody waits for it. */
  Optional<Release> onGrant(Instant now, Grant grant) {
    Waiting ticket = waiting.remove(grant.key());
    if (ticket != null) {
      Instant expiresAt = now.plusMillis(grant.holdMilliseconds());
      held.put(grant.key(), new Held(grant, ticket.route, now, expiresAt));
      ticket.decision.complete(new SlotDecision.Granted(grant.endpoint()));
      return Optional.empty();
    }
    Held known = held.get(grant.key());
    if (known != null && known.grant.endpoint().id().equals(grant.endpoint().id())) {
      return Optional.empty();
    }
    return Optional.of(new Release(grant.service(), grant.key(), AttemptReport.UNUSED));
  }

  /** Takes a refusal. */
  void onRefused(Refused refusal) {
    Waiting ticket = waiting.remove(refusal.key());
    if (ticket != null) {
      ticket.decision.complete(
          new SlotDecision.Refused(
              refusal.reason(),
              refusal.message(),
              Duration.ofMillis(refusal.retryAfterMilliseconds())));
    }
  }

  /** Takes the word that a ticket waits. */
  void onQueued(Instant now, AttemptKey key) {
    Waiting ticket = waiting.get(key);
    if (ticket != null) {
      ticket.lastWordAt = now;
    }
  }

  /** Ends an attempt. The slot stays held here until the endpoint is known free. */
  Release release(Instant now, ServiceName service, AttemptKey key, AttemptReport report) {
    if (report.endpointKnownFree()) {
      held.remove(key);
    } else {
      held.computeIfPresent(key, (lost, slot) -> slot.afterLoss(now));
    }
    return new Release(service, key, report);
  }

  /** Returns all that this entry holds and waits for at a service. */
  Registration registration(Instant now, ServiceName service, ImmutableList<HeldSlot> copies) {
    return new Registration(
        service,
        incarnation,
        held.values().stream()
            .filter(slot -> slot.grant.service().equals(service))
            .map(slot -> HeldSlots.of(leaseOf(slot), now))
            .collect(toImmutableList()),
        waiting.values().stream()
            .filter(ticket -> ticket.service.equals(service))
            .map(ticket -> messageOf(ticket, now))
            .collect(toImmutableList()),
        copies);
  }

  /** Returns the tickets to send again, and counts them as sent. */
  ImmutableList<Waiting> dueForResend(Instant now) {
    ImmutableList<Waiting> due =
        waiting.values().stream()
            .filter(ticket -> !now.isBefore(ticket.sentAt.plus(RESEND_AFTER)))
            .collect(toImmutableList());
    due.forEach(ticket -> ticket.sentAt = now);
    return due;
  }

  /** Refuses the tickets whose dispatcher gives no word, and forgets slots past their bound. */
  void giveUpUnreachable(Instant now) {
    held.values().removeIf(slot -> !slot.expiresAt.isAfter(now));
    waiting.values().stream()
        .filter(ticket -> !now.isBefore(ticket.lastWordAt.plus(UNREACHABLE_AFTER)))
        .collect(toImmutableList())
        .forEach(this::giveUp);
  }

  /** Returns the message for each slot asked after that this entry does not hold. */
  ImmutableList<Release> answer(HoldQuery query) {
    if (query.entryIncarnation() != incarnation) {
      return ImmutableList.of();
    }
    return query.keys().stream()
        .filter(key -> !held.containsKey(key) && !waiting.containsKey(key))
        .map(key -> new Release(query.service(), key, AttemptReport.UNUSED))
        .collect(toImmutableList());
  }

  int waiting() {
    return waiting.size();
  }

  int held() {
    return held.size();
  }

  private void giveUp(Waiting ticket) {
    waiting.remove(ticket.key);
    ticket.decision.complete(
        new SlotDecision.Refused(
            RefusalReason.OVERLOADED,
            "the entry that grants the service's slots gives no answer; send the request again",
            RETRY_AFTER));
  }

  private SlotLease leaseOf(Held slot) {
    return new SlotLease(
        slot.grant.key(),
        self,
        incarnation,
        slot.grant.endpoint().id(),
        slot.grant.endpoint().incarnation(),
        slot.route,
        slot.heldSince,
        slot.expiresAt);
  }

  /** One attempt that waits for a slot. */
  static final class Waiting {
    private final ServiceName service;
    private final AttemptKey key;
    private final String route;
    private final Instant deadline;
    private final ImmutableSet<EndpointId> avoid;
    private final CompletableFuture<SlotDecision> decision = new CompletableFuture<>();
    private Instant sentAt;
    private Instant lastWordAt;

    private Waiting(
        ServiceName service,
        AttemptKey key,
        String route,
        Instant deadline,
        ImmutableSet<EndpointId> avoid,
        Instant now) {
      this.service = service;
      this.key = key;
      this.route = route;
      this.deadline = deadline;
      this.avoid = avoid;
      this.sentAt = now;
      this.lastWordAt = now;
    }

    ServiceName service() {
      return service;
    }

    CompletableFuture<SlotDecision> decision() {
      return decision;
    }
  }

  /** One slot that this entry holds. */
  private record Held(Grant grant, String route, Instant heldSince, Instant expiresAt) {
    private Held afterLoss(Instant now) {
      Instant sooner = now.plusMillis(grant.holdAfterLossMilliseconds());
      return sooner.isBefore(expiresAt) ? new Held(grant, route, heldSince, sooner) : this;
    }
  }
}
