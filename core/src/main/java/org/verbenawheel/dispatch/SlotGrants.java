package org.verbenawheel.dispatch;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.verbenawheel.admission.AdmissionQueue;
import org.verbenawheel.admission.RunTimes;
import org.verbenawheel.admission.WaitingTicket;
import org.verbenawheel.admission.WorkLength;
import org.verbenawheel.configuration.ServiceSettings;
import org.verbenawheel.configuration.WorkClass;
import org.verbenawheel.dispatch.DispatchMessages.Grant;
import org.verbenawheel.dispatch.DispatchMessages.HeldSlot;
import org.verbenawheel.dispatch.DispatchMessages.Refused;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.membership.EndpointRecord;
import org.verbenawheel.request.RefusalReason;
import org.verbenawheel.routing.AttemptKey;
import org.verbenawheel.routing.AttemptReport;
import org.verbenawheel.routing.SlotLease;
import org.verbenawheel.routing.SlotPool;

/**
 * Grants the slots of one service to queued tickets and frees them when attempts end. Not
 * thread-safe.
 */
final class SlotGrants {
  private static final int SEARCH_LIMIT = 16;

  private final AdmissionQueue queue;
  private final SlotPool pool;
  private final RunTimes runTimes;
  private final DispatcherOutbox outbox;
  private ServiceSettings settings;

  SlotGrants(
      ServiceSettings settings,
      AdmissionQueue queue,
      SlotPool pool,
      RunTimes runTimes,
      DispatcherOutbox outbox) {
    this.settings = settings;
    this.queue = queue;
    this.pool = pool;
    this.runTimes = runTimes;
    this.outbox = outbox;
  }

  void changeSettings(ServiceSettings newSettings) {
    settings = newSettings;
  }

  /** Grants slots to queued tickets until no slot is free for any of them. */
  void grantWaiting(Instant now) {
    boolean granted = true;
    while (granted && queue.size() > 0) {
      granted = grantNext(now);
    }
  }

  private boolean grantNext(Instant now) {
    if (longWorkGoesFirst()) {
      return grantNext(now, WorkLength.LONG) || grantNext(now, WorkLength.SHORT);
    }
    return grantNext(now, WorkLength.SHORT) || grantNext(now, WorkLength.LONG);
  }

  /**
   * Returns whether long work is served before short work: always for a batch service, so that it
   * gets its whole share; for an interactive service only while long work holds no slot.
   */
  private boolean longWorkGoesFirst() {
    return pool.ledger().totalHeldByLongWork() == 0 || settings.workClass() == WorkClass.BATCH;
  }

  private boolean grantNext(Instant now, WorkLength length) {
    for (WaitingTicket ticket : queue.first(length, now, SEARCH_LIMIT)) {
      Optional<EndpointRecord> endpoint =
          pool.choose(length == WorkLength.LONG, ticket.avoid(), now);
      if (endpoint.isPresent()) {
        queue.remove(ticket.key());
        grant(now, ticket, endpoint.get());
        return true;
      }
      if (ticket.avoid().isEmpty()) {
        return false;
      }
    }
    return false;
  }

  private void grant(Instant now, WaitingTicket ticket, EndpointRecord endpoint) {
    SlotLease lease =
        new SlotLease(
            ticket.key(),
            ticket.entry(),
            ticket.entryIncarnation(),
            endpoint.id(),
            endpoint.incarnation(),
            ticket.route(),
            now,
            ticket.deadline().plus(ServiceDispatcher.LATE_ANSWER_LIMIT));
    outbox.recordDecision(
        now,
        ticket.key(),
        "granted " + endpoint.id(),
        "least loaded endpoint with a free slot",
        ImmutableMap.of(
            "class", ticket.length().name(),
            "waitedMilliseconds",
                String.valueOf(Duration.between(ticket.arrivedAt(), now).toMillis()),
            "heldAtEndpoint", String.valueOf(pool.ledger().held(endpoint.id())),
            "stillWaiting", String.valueOf(queue.size())));
    pool.hold(lease, ticket.length() == WorkLength.LONG);
    outbox.successorUpdates().addHeld(HeldSlotConverter.toMessage(lease, now));
    sendGrant(now, lease, endpoint);
  }

  /**
   * Sends a grant again because the first message may have been lost. Refuses the attempt and frees
   * its slot if the endpoint has left or another entry holds the slot.
   */
  void resendGrant(Instant now, ProcessId entry, AttemptKey key) {
    SlotLease lease = pool.ledger().find(key).orElseThrow();
    Optional<EndpointRecord> endpoint =
        pool.endpoints().stream()
            .filter(candidate -> candidate.id().equals(lease.endpoint()))
            .findFirst();
    if (endpoint.isPresent() && lease.holder().equals(entry)) {
      sendGrant(now, lease, endpoint.get());
      return;
    }
    onAttemptEnded(now, lease, AttemptReport.UNUSED);
    outbox.refuse(
        now,
        entry,
        new Refused(
            settings.name(),
            key,
            RefusalReason.NO_ENDPOINT,
            "the endpoint left the service before the request was sent; send it again",
            TicketAdmission.MINIMUM_RETRY_AFTER.toMillis()),
        ImmutableMap.of("endpoint", lease.endpoint().value()));
  }

  private void sendGrant(Instant now, SlotLease lease, EndpointRecord endpoint) {
    long holdMilliseconds = Duration.between(now, lease.expiresAt()).toMillis();
    long afterLossMilliseconds = holdAfterLoss(lease).toMillis();
    outbox.send(
        lease.holder(),
        new Grant(settings.name(), lease.key(), endpoint, holdMilliseconds, afterLossMilliseconds));
  }

  /**
   * Records the result of an attempt, and frees its slot if the endpoint is known to be free.
   * Otherwise the lease is shortened to the time within which the endpoint should finish.
   */
  void onAttemptEnded(Instant now, SlotLease lease, AttemptReport report) {
    if (report.result().isRunTimeSample()) {
      recordRunTime(lease, Duration.between(lease.grantedAt(), now));
    }
    if (report.endpointKnownFree()) {
      outbox.successorUpdates().addEnded(lease.key());
    } else {
      pool.ledger().shorten(lease, now.plus(holdAfterLoss(lease)));
    }
    if (pool.release(lease, report, now)) {
      outbox.recordDecision(
          now,
          lease.key(),
          "ejected " + lease.endpoint(),
          "its share of failed attempts is far higher than that of the other endpoints",
          ImmutableMap.of("result", report.result().name()));
    }
  }

  private Duration holdAfterLoss(SlotLease lease) {
    return runTimes.holdAfterLoss(lease.route(), ServiceDispatcher.LATE_ANSWER_LIMIT);
  }

  /**
   * Shortens the leases of an entry that was lost: it may never report when the endpoints have
   * finished the attempts that it sent.
   */
  void shortenLeasesOf(Instant now, ProcessId entry) {
    pool.ledger().leases().stream()
        .filter(lease -> lease.holder().equals(entry))
        .forEach(lease -> pool.ledger().shorten(lease, now.plus(holdAfterLoss(lease))));
  }

  /**
   * Records for how long the slot was held, including the time that messages took, because the next
   * ticket in the queue waits for all of it. A run of a long route that ended within the limit for
   * short work moves the route back towards short.
   */
  private void recordRunTime(SlotLease lease, Duration runTime) {
    Duration limit = Duration.ofMillis(settings.shortWorkMilliseconds());
    WorkLength length = runTime.compareTo(limit) > 0 ? WorkLength.LONG : WorkLength.SHORT;
    runTimes.add(lease.route(), runTime, length);
  }

  /** Expires leases up to the given time and records runs that passed the limit for short work. */
  void advanceTo(Instant now) {
    for (SlotLease overrun : pool.advanceTo(now)) {
      runTimes.addOverrun(overrun.route());
    }
  }

  /** Holds a slot that another process reported, and removes the attempt's ticket, if any. */
  void holdUnlessKnown(Instant now, HeldSlot slot) {
    if (pool.ledger().find(slot.key()).isPresent()) {
      return;
    }
    queue.remove(slot.key());
    pool.hold(
        HeldSlotConverter.toLease(slot, now), runTimes.lengthOf(slot.route()) == WorkLength.LONG);
    outbox.successorUpdates().addHeld(slot);
  }
}
