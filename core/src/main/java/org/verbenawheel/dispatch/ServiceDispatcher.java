package org.verbenawheel.dispatch;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.verbenawheel.admission.AdmissionQueue;
import org.verbenawheel.admission.QueueOrder;
import org.verbenawheel.admission.RunTimes;
import org.verbenawheel.admission.WaitingTicket;
import org.verbenawheel.admission.WorkLength;
import org.verbenawheel.configuration.ServiceSettings;
import org.verbenawheel.dispatch.DispatchMessages.HeldSlot;
import org.verbenawheel.dispatch.DispatchMessages.LedgerCopy;
import org.verbenawheel.dispatch.DispatchMessages.Queued;
import org.verbenawheel.dispatch.DispatchMessages.Refused;
import org.verbenawheel.dispatch.DispatchMessages.Registration;
import org.verbenawheel.dispatch.DispatchMessages.RegistrationRequest;
import org.verbenawheel.dispatch.DispatchMessages.Release;
import org.verbenawheel.dispatch.DispatchMessages.Ticket;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.membership.MembershipView;
import org.verbenawheel.routing.SlotPool;

/**
 * Allocates the slots of one service to the waiting attempts of all entries.
 *
 * <p>A single allocator that counts every slot neither overloads an endpoint nor leaves a slot idle
 * while work waits. Does no I/O and reads no clock: each event is passed with the current time and
 * returns its effects. Not thread-safe.
 */
public final class ServiceDispatcher {
  /** How long past a request's deadline its slot is held if it is not released. */
  public static final Duration LATE_ANSWER_LIMIT = Duration.ofSeconds(30);

  private final ProcessId self;
  private final QueueOrder order;
  private final RegistrationTracker registrations = new RegistrationTracker();
  private final AdmissionQueue queue;
  private final RunTimes runTimes = new RunTimes();
  private final SlotPool pool;
  private final DispatcherOutbox outbox;
  private final TicketAdmission admission;
  private final SlotGrants grants;
  private ServiceSettings settings;

  /**
   * Creates the dispatcher of a service. It grants nothing until it has a membership view.
   *
   * @param self the entry that runs it
   * @param settings the settings of the service
   * @param order the queue order of waiting tickets
   */
  public ServiceDispatcher(ProcessId self, ServiceSettings settings, QueueOrder order) {
    this.self = self;
    this.settings = settings;
    this.order = order;
    this.queue = new AdmissionQueue(order);
    this.pool = new SlotPool(settings);
    this.outbox = new DispatcherOutbox(settings.name());
    this.admission = new TicketAdmission(settings, queue, pool, runTimes);
    this.grants = new SlotGrants(settings, queue, pool, runTimes, outbox);
  }

  /**
   * Grants a ticket a slot, queues it, or refuses it. A resent ticket that is already queued or
   * granted gets the same answer again.
   *
   * @param now the current time
   * @param from the entry that sent it
   * @param ticket the ticket
   * @return the effects to carry out, in order
   */
  public ImmutableList<DispatchEffect> onTicket(Instant now, ProcessId from, Ticket ticket) {
    if (queue.contains(ticket.key())) {
      outbox.send(from, new Queued(ticket.service(), ticket.key()));
    } else if (pool.ledger().find(ticket.key()).isPresent()) {
      grants.resendGrant(now, from, ticket.key());
    } else {
      admit(now, from, ticket);
    }
    return finish(now);
  }

  /**
   * Handles the end of an attempt, or of its wait for a slot.
   *
   * @param now the current time
   * @param release the attempt and how it ended
   * @return the effects to carry out, in order
   */
  public ImmutableList<DispatchEffect> onRelease(Instant now, Release release) {
    queue.remove(release.key());
    pool.ledger()
        .find(release.key())
        .ifPresent(lease -> grants.onAttemptEnded(now, lease, release.report()));
    return finish(now);
  }

  /**
   * Adds the slots that an entry holds and the tickets that it waits on.
   *
   * @param now the current time
   * @param from the entry
   * @param registration its slots and tickets, and copies of other entries' slots
   * @return the effects to carry out, in order
   */
  public ImmutableList<DispatchEffect> onRegistration(
      Instant now, ProcessId from, Registration registration) {
    registrations.onRegistered(from, registration.entryIncarnation());
    registration.held().forEach(slot -> grants.holdUnlessKnown(now, slot));
    registration.copies().stream()
        .filter(slot -> !registrations.isRegistered(slot.holder(), slot.holderIncarnation()))
        .forEach(slot -> grants.holdUnlessKnown(now, slot));
    for (Ticket ticket : registration.waiting()) {
      if (pool.ledger().find(ticket.key()).isPresent()) {
        grants.resendGrant(now, from, ticket.key());
      } else {
        admit(now, from, ticket);
      }
    }
    return finish(now);
  }

  /**
   * Adds slots that an earlier dispatcher granted, except those of registered entries, which report
   * their own.
   *
   * @param now the current time
   * @param copy the earlier dispatcher's held slots
   * @return the effects to carry out, in order
   */
  public ImmutableList<DispatchEffect> onLedgerCopy(Instant now, LedgerCopy copy) {
    copy.held().stream()
        .filter(slot -> !registrations.isRegistered(slot.holder(), slot.holderIncarnation()))
        .forEach(slot -> grants.holdUnlessKnown(now, slot));
    return finish(now);
  }

  /**
   * Answers the successor, which missed a ledger copy, with a whole one.
   *
   * @param now the current time
   * @return the effects to carry out, in order
   */
  public ImmutableList<DispatchEffect> onLedgerCopyRequest(Instant now) {
    outbox.successorUpdates().requireWholeCopy();
    return finish(now);
  }

  /**
   * Applies a new membership view: tickets of lost entries are removed and their leases shortened.
   *
   * @param now the current time
   * @param view the new view
   * @return the effects to carry out, in order
   */
  public ImmutableList<DispatchEffect> onView(Instant now, MembershipView view) {
    pool.changeView(view);
    ImmutableSet<ProcessId> lost = registrations.updateLiveEntries(view.liveEntries(), now);
    lost.forEach(queue::removeAllOf);
    lost.forEach(entry -> grants.shortenLeasesOf(now, entry));
    outbox
        .successorUpdates()
        .setSuccessor(
            DispatcherElection.ranking(settings.name(), view.liveEntries()).stream()
                .filter(entry -> !entry.equals(self))
                .findFirst());
    requestRegistrations();
    return finish(now);
  }

  /**
   * Applies changed settings.
   *
   * @param now the current time
   * @param newSettings settings of the same service
   * @return the effects to carry out, in order
   */
  public ImmutableList<DispatchEffect> onSettings(Instant now, ServiceSettings newSettings) {
    settings = newSettings;
    admission.changeSettings(newSettings);
    grants.changeSettings(newSettings);
    pool.changeSettings(newSettings);
    return finish(now);
  }

  /**
   * Does the periodic work: expires leases, refuses tickets that cannot meet their deadline,
   * queries the holders of long-held slots, and repeats messages that may have been lost.
   *
   * @param now the current time
   * @return the effects to carry out, in order
   */
  public ImmutableList<DispatchEffect> onTick(Instant now) {
    requestRegistrations();
    HoldQueries.forLongHeldSlots(settings.name(), pool.ledger().leases(), registrations, now)
        .forEach(outbox::send);
    outbox.repeatLastUpdate();
    return finish(now);
  }

  /**
   * Returns all held slots, to hand over to the entry that becomes dispatcher.
   *
   * @param now the current time
   */
  public ImmutableList<HeldSlot> heldSlots(Instant now) {
    return pool.ledger().leases().stream()
        .map(lease -> HeldSlotConverter.toMessage(lease, now))
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns how many tickets are queued. */
  public int waiting() {
    return queue.size();
  }

  /** Returns the slots of the service. */
  public SlotPool pool() {
    return pool;
  }

  /**
   * Returns a summary of the state for a dump.
   *
   * @param now the current time
   */
  public ImmutableMap<String, String> dump(Instant now) {
    return ImmutableMap.<String, String>builder()
        .put("service", settings.name().value())
        .put("mayGrant", String.valueOf(registrations.mayGrant(now)))
        .put("unregistered", registrations.unregistered().toString())
        .put("order", order.name())
        .put("waitingShort", String.valueOf(queue.size(WorkLength.SHORT)))
        .put("waitingLong", String.valueOf(queue.size(WorkLength.LONG)))
        .put("slotsHeld", String.valueOf(pool.ledger().totalHeld()))
        .put("slotsHeldByLongWork", String.valueOf(pool.ledger().totalHeldByLongWork()))
        .put("slots", String.valueOf(pool.totalSlots()))
        .put("ejected", pool.ejected().toString())
        .buildOrThrow();
  }

  private void admit(Instant now, ProcessId from, Ticket ticket) {
    grants.advanceTo(now);
    Optional<Refused> refusal = admission.refusalOf(now, ticket);
    if (refusal.isPresent()) {
      outbox.refuse(now, from, refusal.get(), loadInputs());
      return;
    }
    queue.add(
        new WaitingTicket(
            ticket.key(),
            from,
            ticket.entryIncarnation(),
            ticket.route(),
            runTimes.lengthOf(ticket.route()),
            admission.reservedRunTime(now, ticket),
            now,
            now.plusMillis(ticket.timeLeftMilliseconds()),
            ticket.avoid()));
  }

  private void refuseUnservable(Instant now) {
    for (WaitingTicket ticket : queue.removeUnservable(now)) {
      Refused refusal =
          admission.overloadRefusal(
              ticket.key(),
              "the request waited until it could no longer meet its deadline",
              Duration.ZERO);
      outbox.refuse(now, ticket.entry(), refusal, loadInputs());
    }
  }

  private void requestRegistrations() {
    for (ProcessId entry : registrations.unregistered()) {
      outbox.send(entry, new RegistrationRequest(settings.name()));
    }
  }

  private ImmutableList<DispatchEffect> finish(Instant now) {
    grants.advanceTo(now);
    refuseUnservable(now);
    if (registrations.mayGrant(now)) {
      grants.grantWaiting(now);
    }
    return outbox.drain(() -> heldSlots(now).iterator());
  }

  private ImmutableMap<String, String> loadInputs() {
    return ImmutableMap.of(
        "waiting", String.valueOf(queue.size()),
        "slotsHeld", String.valueOf(pool.ledger().totalHeld()),
        "slots", String.valueOf(pool.totalSlots()));
  }
}
