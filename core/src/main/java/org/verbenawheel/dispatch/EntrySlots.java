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
 * Tracks the pending tickets and the granted slots of one entry, over all services.
 *
 * <p>Not thread-safe. Completes the future of a pending ticket on the thread that handles the
 * answer.
 */
final class EntrySlots {
  /** The interval at which a pending ticket is sent again. */
  static final Duration RESEND_AFTER = Duration.ofMillis(500);

  /** How long a ticket waits without an answer from its dispatcher before it is refused. */
  static final Duration UNREACHABLE_AFTER = Duration.ofSeconds(2);

  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final ProcessId self;
  private final long incarnation;
  private final Map<AttemptKey, PendingTicket> waiting = new HashMap<>();
  private final Map<AttemptKey, GrantedSlot> held = new HashMap<>();

  EntrySlots(ProcessId self, long incarnation) {
    this.self = self;
    this.incarnation = incarnation;
  }

  /** Adds a pending ticket. */
  PendingTicket add(
      Instant now,
      ServiceName service,
      AttemptKey key,
      String route,
      Instant deadline,
      ImmutableSet<EndpointId> avoid) {
    PendingTicket ticket = new PendingTicket(service, key, route, deadline, avoid, now);
    waiting.put(key, ticket);
    return ticket;
  }

  /** Returns the message to send for a ticket, with the time left until its deadline. */
  Ticket toMessage(PendingTicket ticket, Instant now) {
    return new Ticket(
        ticket.service,
        ticket.key,
        incarnation,
        ticket.route,
        Math.max(0, Duration.between(now, ticket.deadline).toMillis()),
        ticket.avoid);
  }

  /**
   * Removes a pending ticket. Returns the message that withdraws it; empty if it is not pending.
   */
  Optional<Release> withdraw(AttemptKey key) {
    return Optional.ofNullable(waiting.remove(key))
        .map(ticket -> new Release(ticket.service, key, AttemptReport.UNUSED));
  }

  /**
   * Completes the ticket that a grant answers. Returns the message that gives the slot back if no
   * attempt waits for it; empty for a repeated grant of a slot that is held already.
   */
  Optional<Release> onGrant(Instant now, Grant grant) {
    PendingTicket ticket = waiting.remove(grant.key());
    if (ticket != null) {
      Instant expiresAt = now.plusMillis(grant.holdMilliseconds());
      held.put(grant.key(), new GrantedSlot(grant, ticket.route, now, expiresAt));
      ticket.decision.complete(new SlotDecision.Granted(grant.endpoint()));
      return Optional.empty();
    }
    GrantedSlot heldSlot = held.get(grant.key());
    if (heldSlot != null && heldSlot.grant.endpoint().id().equals(grant.endpoint().id())) {
      return Optional.empty();
    }
    return Optional.of(new Release(grant.service(), grant.key(), AttemptReport.UNUSED));
  }

  /** Completes the ticket that a refusal answers. */
  void onRefused(Refused refusal) {
    PendingTicket ticket = waiting.remove(refusal.key());
    if (ticket != null) {
      ticket.decision.complete(
          new SlotDecision.Refused(
              refusal.reason(),
              refusal.message(),
              Duration.ofMillis(refusal.retryAfterMilliseconds())));
    }
  }

  /** Records that the dispatcher answered and still has the ticket in its queue. */
  void onQueued(Instant now, AttemptKey key) {
    PendingTicket ticket = waiting.get(key);
    if (ticket != null) {
      ticket.lastResponseAt = now;
    }
  }

  /**
   * Returns the message that reports the end of an attempt. The slot stays held in this tracker
   * until the endpoint is known to be free or the shortened lease expires.
   */
  Release release(Instant now, ServiceName service, AttemptKey key, AttemptReport report) {
    if (report.endpointKnownFree()) {
      held.remove(key);
    } else {
      held.computeIfPresent(key, (unchanged, slot) -> slot.afterConnectionLoss(now));
    }
    return new Release(service, key, report);
  }

  /** Returns the registration of this entry's slots and tickets with a service's dispatcher. */
  Registration registration(Instant now, ServiceName service, ImmutableList<HeldSlot> copies) {
    return new Registration(
        service,
        incarnation,
        held.values().stream()
            .filter(slot -> slot.grant.service().equals(service))
            .map(slot -> HeldSlotConverter.toMessage(leaseOf(slot), now))
            .collect(toImmutableList()),
        waiting.values().stream()
            .filter(ticket -> ticket.service.equals(service))
            .map(ticket -> toMessage(ticket, now))
            .collect(toImmutableList()),
        copies);
  }

  /** Returns the tickets to send again now, and marks them as sent. */
  ImmutableList<PendingTicket> takeTicketsToResend(Instant now) {
    ImmutableList<PendingTicket> toResend =
        waiting.values().stream()
            .filter(ticket -> !now.isBefore(ticket.sentAt.plus(RESEND_AFTER)))
            .collect(toImmutableList());
    toResend.forEach(ticket -> ticket.sentAt = now);
    return toResend;
  }

  /** Drops slots that have expired, and refuses tickets whose dispatcher does not answer. */
  void expire(Instant now) {
    held.values().removeIf(slot -> !slot.expiresAt.isAfter(now));
    waiting.values().stream()
        .filter(ticket -> !now.isBefore(ticket.lastResponseAt.plus(UNREACHABLE_AFTER)))
        .collect(toImmutableList())
        .forEach(this::refuseAsUnreachable);
  }

  /** Returns a release for each queried slot that this entry neither holds nor waits for. */
  ImmutableList<Release> releasesFor(HoldQuery query) {
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

  private void refuseAsUnreachable(PendingTicket ticket) {
    waiting.remove(ticket.key);
    ticket.decision.complete(
        new SlotDecision.Refused(
            RefusalReason.OVERLOADED,
            "the entry that grants the service's slots does not answer; send the request again",
            RETRY_AFTER));
  }

  private SlotLease leaseOf(GrantedSlot slot) {
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

  /** A ticket that was sent to a dispatcher and is neither granted nor refused. */
  static final class PendingTicket {
    private final ServiceName service;
    private final AttemptKey key;
    private final String route;
    private final Instant deadline;
    private final ImmutableSet<EndpointId> avoid;
    private final CompletableFuture<SlotDecision> decision = new CompletableFuture<>();
    private Instant sentAt;
    private Instant lastResponseAt;

    private PendingTicket(
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
      this.lastResponseAt = now;
    }

    ServiceName service() {
      return service;
    }

    CompletableFuture<SlotDecision> decision() {
      return decision;
    }
  }

  /** A slot that this entry was granted and has not yet given back. */
  private record GrantedSlot(Grant grant, String route, Instant heldSince, Instant expiresAt) {
    private GrantedSlot afterConnectionLoss(Instant now) {
      Instant shortened = now.plusMillis(grant.holdAfterLossMilliseconds());
      return shortened.isBefore(expiresAt)
          ? new GrantedSlot(grant, route, heldSince, shortened)
          : this;
    }
  }
}
