package org.verbenawheel.dispatch;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.verbenawheel.admission.AdmissionQueue;
import org.verbenawheel.admission.QueueOrder;
import org.verbenawheel.admission.RunTimes;
import org.verbenawheel.admission.WaitEstimate;
import org.verbenawheel.admission.WaitingTicket;
import org.verbenawheel.admission.WorkLength;
import org.verbenawheel.configuration.ServiceSettings;
import org.verbenawheel.configuration.WorkClass;
import org.verbenawheel.decision.Decision;
import org.verbenawheel.dispatch.DispatchMessages.DispatchMessage;
import org.verbenawheel.dispatch.DispatchMessages.Grant;
import org.verbenawheel.dispatch.DispatchMessages.HeldSlot;
import org.verbenawheel.dispatch.DispatchMessages.HoldQuery;
import org.verbenawheel.dispatch.DispatchMessages.LedgerCopy;
import org.verbenawheel.dispatch.DispatchMessages.Queued;
import org.verbenawheel.dispatch.DispatchMessages.Refused;
import org.verbenawheel.dispatch.DispatchMessages.Registration;
import org.verbenawheel.dispatch.DispatchMessages.RegistrationRequest;
import org.verbenawheel.dispatch.DispatchMessages.Release;
import org.verbenawheel.dispatch.DispatchMessages.Ticket;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.membership.EndpointRecord;
import org.verbenawheel.membership.MembershipView;
import org.verbenawheel.request.RefusalReason;
import org.verbenawheel.retry.RetryBudget;
import org.verbenawheel.routing.AttemptKey;
import org.verbenawheel.routing.AttemptReport;
import org.verbenawheel.routing.SlotLease;
import org.verbenawheel.routing.SlotPool;

/**
 * Decides which waiting attempt of one service gets which slot, for all entries.
 *
 * <p>One place that counts every slot can neither overfill an endpoint nor leave a slot idle that
 * work waits for. Does no I/O and reads no clock: events come in with the present moment, effects
 * go out. Not safe for use by many threads.
 */
public final class ServiceDispatcher {
  /** How long past a request's deadline its slot is held if nobody says that it is free. */
  public static final Duration LATE_ANSWER_LIMIT = Duration.ofSeconds(30);

  private static final Duration QUERY_HOLDS_AFTER = Duration.ofSeconds(2);
  private static final Duration SHORTEST_RETRY_AFTER = Duration.ofSeconds(1);
  private static final int SEARCH_LIMIT = 16;

  private final ProcessId self;
  private final QueueOrder order;
  private final Takeover takeover = new Takeover();
  private final AdmissionQueue queue;
  private final RunTimes runTimes = new RunTimes();
  private final RetryBudget retries;
  private final SlotPool pool;
  private final SuccessorCopy copy;
  private ServiceSettings settings;
  private ImmutableList.Builder<DispatchEffect> effects = ImmutableList.builder();

  /**
   * Makes the dispatcher of a service. It grants nothing before it has a view.
   *
   * @param self the entry that runs it
   * @param settings the settings of the service
   * @param order which waiting ticket goes first
   */
  public ServiceDispatcher(ProcessId self, ServiceSettings settings, QueueOrder order) {
    this.self = self;
    this.settings = settings;
    this.order = order;
    this.queue = new AdmissionQueue(order);
    this.retries = new RetryBudget(settings.retryBudgetShare());
    this.pool = new SlotPool(settings);
    this.copy = new SuccessorCopy(settings.name());
  }

  /**
   * Takes a ticket: grants it a slot, lets it wait, or refuses it.
   *
   * @param now the present moment
   * @param from the entry that sent it
   * @param ticket the ticket
   * @return what to do
   */
  public ImmutableList<DispatchEffect> onTicket(Instant now, ProcessId from, Ticket ticket) {
    if (queue.contains(ticket.key())) {
      send(from, new Queued(ticket.service(), ticket.key()));
    } else if (pool.ledger().find(ticket.key()).isPresent()) {
      grantAgain(now, from, ticket.key());
    } else {
      admit(now, from, ticket);
    }
    return finish(now);
  }

  /**
   * Takes the end of an attempt, or of the wait for a slot.
   *
   * @param now the present moment
   * @param release how it ended
   * @return what to do
   */
  public ImmutableList<DispatchEffect> onRelease(Instant now, Release release) {
    queue.remove(release.key());
    pool.ledger().find(release.key()).ifPresent(lease -> free(now, lease, release.report()));
    return finish(now);
  }

  /**
   * Takes all that an entry holds and waits for.
   *
   * @param now the present moment
   * @param from the entry
   * @param registration what it holds and waits for
   * @return what to do
   */
  public ImmutableList<DispatchEffect> onRegistration(
      Instant now, ProcessId from, Registration registration) {
    takeover.onRegistered(from, registration.entryIncarnation());
    registration.held().forEach(slot -> holdUnlessKnown(now, slot));
    registration.copies().stream()
        .filter(slot -> !takeover.speaksForItself(slot.holder(), slot.holderIncarnation()))
        .forEach(slot -> holdUnlessKnown(now, slot));
    for (Ticket ticket : registration.waiting()) {
      if (pool.ledger().find(ticket.key()).isPresent()) {
        grantAgain(now, from, ticket.key());
      } else {
        admit(now, from, ticket);
      }
    }
    return finish(now);
  }

  /**
   * Takes what an earlier dispatcher granted.
   *
   * @param now the present moment
   * @param earlier the slots held
   * @return what to do
   */
  public ImmutableList<DispatchEffect> onLedgerCopy(Instant now, LedgerCopy earlier) {
    earlier.held().stream()
        .filter(slot -> !takeover.speaksForItself(slot.holder(), slot.holderIncarnation()))
        .forEach(slot -> holdUnlessKnown(now, slot));
    return finish(now);
  }

  /**
   * Takes the word that the entry which is next missed a copy.
   *
   * @param now the present moment
   * @return what to do
   */
  public ImmutableList<DispatchEffect> onLedgerCopyRequest(Instant now) {
    copy.sendWhole();
    return finish(now);
  }

  /**
   * Takes a view of the membership.
   *
   * @param now the present moment
   * @param view the view
   * @return what to do
   */
  public ImmutableList<DispatchEffect> onView(Instant now, MembershipView view) {
    pool.changeView(view);
    takeover.changeLive(view.liveEntries(), now).forEach(queue::removeAllOf);
    copy.changeSuccessor(
        DispatcherElection.ranking(settings.name(), view.liveEntries()).stream()
            .filter(entry -> !entry.equals(self))
            .findFirst());
    askForRegistrations();
    return finish(now);
  }

  /**
   * Takes changed settings.
   *
   * @param now the present moment
   * @param newSettings settings of the same service
   * @return what to do
   */
  public ImmutableList<DispatchEffect> onSettings(Instant now, ServiceSettings newSettings) {
    settings = newSettings;
    retries.changeShare(newSettings.retryBudgetShare());
    pool.changeSettings(newSettings);
    return finish(now);
  }

  /**
   * Lets time pass: leases expire, hopeless tickets are refused, long holds are asked after.
   *
   * @param now the present moment
   * @return what to do
   */
  public ImmutableList<DispatchEffect> onTick(Instant now) {
    askForRegistrations();
    queryOldHolds(now);
    copy.repeat().ifPresent(effects::add);
    return finish(now);
  }

  /**
   * Returns all slots held, for the entry that becomes dispatcher instead.
   *
   * @param now the present moment
   */
  public ImmutableList<HeldSlot> heldSlots(Instant now) {
    return pool.ledger().leases().stream()
        .map(lease -> HeldSlots.of(lease, now))
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns how many tickets wait. */
  public int waiting() {
    return queue.size();
  }

  /** Returns the slots of the service. */
  public SlotPool pool() {
    return pool;
  }

  /**
   * Returns the state in short, for a dump.
   *
   * @param now the present moment
   */
  public ImmutableMap<String, String> dump(Instant now) {
    return ImmutableMap.<String, String>builder()
        .put("service", settings.name().value())
        .put("mayGrant", String.valueOf(takeover.mayGrant(now)))
        .put("unregistered", takeover.unregistered().toString())
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
    pool.advanceTo(now);
    Optional<Refused> refusal = refusalOf(ticket);
    if (refusal.isPresent()) {
      refuse(now, from, refusal.get());
      return;
    }
    queue.add(
        new WaitingTicket(
            ticket.key(),
            from,
            ticket.entryIncarnation(),
            ticket.route(),
            runTimes.lengthOf(ticket.route()),
            runTimes.meanOf(ticket.route()),
            now,
            now.plusMillis(ticket.timeLeftMilliseconds()),
            ticket.avoid()));
  }

  private Optional<Refused> refusalOf(Ticket ticket) {
    if (pool.endpoints().isEmpty()) {
      return Optional.of(
          refused(
              ticket.key(),
              RefusalReason.NO_ENDPOINT,
              "no endpoint of the service is announced; send the request again",
              SHORTEST_RETRY_AFTER));
    }
    if (ticket.key().isRetry()) {
      return refusalOfRetry(ticket);
    }
    retries.addFirstAttempt();
    if (queue.size() >= settings.queueLimit()) {
      return Optional.of(
          overloaded(ticket.key(), "the service's queue is full", expectedWait(ticket)));
    }
    Duration wait = expectedWait(ticket);
    Duration needed = wait.plus(runTimes.meanOf(ticket.route()));
    if (needed.toMillis() > ticket.timeLeftMilliseconds()) {
      return Optional.of(
          overloaded(ticket.key(), "the request would miss its deadline in the queue", wait));
    }
    return Optional.empty();
  }

  private Optional<Refused> refusalOfRetry(Ticket ticket) {
    if (pool.isExhausted(ticket.avoid())) {
      return Optional.of(
          refused(
              ticket.key(),
              RefusalReason.ENDPOINT_FAILED,
              "every endpoint of the service failed the request",
              SHORTEST_RETRY_AFTER));
    }
    if (!retries.takeRetry()) {
      return Optional.of(
          refused(
              ticket.key(),
              RefusalReason.ENDPOINT_FAILED,
              "the service's retry budget is used up",
              SHORTEST_RETRY_AFTER));
    }
    return Optional.empty();
  }

  private Duration expectedWait(Ticket ticket) {
    WorkLength length = runTimes.lengthOf(ticket.route());
    int slots = pool.totalSlots() - pool.ledger().totalHeldByLongWork();
    if (length == WorkLength.LONG) {
      slots = pool.longWorkLimit();
    }
    return WaitEstimate.of(queue.size(length), runTimes.meanOf(length), slots);
  }

  private void grantWaiting(Instant now) {
    if (!takeover.mayGrant(now)) {
      return;
    }
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

  /** Long work keeps its whole share where nobody waits at a desk, else one slot. */
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
            ticket.deadline().plus(LATE_ANSWER_LIMIT));
    explain(
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
    copy.addHeld(HeldSlots.of(lease, now));
    sendGrant(now, lease, endpoint);
  }

  private void grantAgain(Instant now, ProcessId entry, AttemptKey key) {
    SlotLease lease = pool.ledger().find(key).orElseThrow();
    Optional<EndpointRecord> endpoint =
        pool.endpoints().stream()
            .filter(candidate -> candidate.id().equals(lease.endpoint()))
            .findFirst();
    if (endpoint.isPresent() && lease.holder().equals(entry)) {
      sendGrant(now, lease, endpoint.get());
      return;
    }
    free(now, lease, AttemptReport.UNUSED);
    refuse(
        now,
        entry,
        refused(
            key,
            RefusalReason.NO_ENDPOINT,
            "the endpoint left before the request was sent; send it again",
            SHORTEST_RETRY_AFTER));
  }

  private void sendGrant(Instant now, SlotLease lease, EndpointRecord endpoint) {
    long holdMilliseconds = Duration.between(now, lease.expiresAt()).toMillis();
    send(lease.holder(), new Grant(settings.name(), lease.key(), endpoint, holdMilliseconds));
  }

  private void free(Instant now, SlotLease lease, AttemptReport report) {
    if (report.result().teachesRunTime()) {
      runTimes.add(
          lease.route(),
          Duration.ofNanos((long) (report.durationMilliseconds() * 1e6)),
          Duration.ofMillis(settings.shortWorkMilliseconds()));
    }
    if (report.endpointKnownFree()) {
      copy.addEnded(lease.key());
    }
    if (pool.release(lease, report, now)) {
      explain(
          now,
          lease.key(),
          "ejected " + lease.endpoint(),
          "it fails far more of its work than the other endpoints do",
          ImmutableMap.of("result", report.result().name()));
    }
  }

  private void holdUnlessKnown(Instant now, HeldSlot slot) {
    if (pool.ledger().find(slot.key()).isPresent()) {
      return;
    }
    queue.remove(slot.key());
    pool.hold(HeldSlots.toLease(slot, now), runTimes.lengthOf(slot.route()) == WorkLength.LONG);
    copy.addHeld(slot);
  }

  private void refuseHopeless(Instant now) {
    for (WaitingTicket ticket : queue.removeHopeless(now)) {
      Refused refusal =
          overloaded(
              ticket.key(),
              "the request waited until it could not meet its deadline",
              Duration.ZERO);
      refuse(now, ticket.entry(), refusal);
    }
  }

  private void askForRegistrations() {
    for (ProcessId entry : takeover.unregistered()) {
      send(entry, new RegistrationRequest(settings.name()));
    }
  }

  private void queryOldHolds(Instant now) {
    Instant old = now.minus(QUERY_HOLDS_AFTER);
    ImmutableListMultimap.Builder<Holder, AttemptKey> oldHolds = ImmutableListMultimap.builder();
    for (SlotLease lease : pool.ledger().leases()) {
      if (lease.grantedAt().isBefore(old) && takeover.isRegistered(lease.holder())) {
        oldHolds.put(new Holder(lease.holder(), lease.holderIncarnation()), lease.key());
      }
    }
    oldHolds
        .build()
        .asMap()
        .forEach(
            (holder, keys) ->
                send(
                    holder.entry(),
                    new HoldQuery(
                        settings.name(), holder.incarnation(), ImmutableList.copyOf(keys))));
  }

  private Refused overloaded(AttemptKey key, String message, Duration wait) {
    Duration retryAfter = wait.compareTo(SHORTEST_RETRY_AFTER) > 0 ? wait : SHORTEST_RETRY_AFTER;
    return refused(
        key, RefusalReason.OVERLOADED, message + "; send it again after the wait", retryAfter);
  }

  private Refused refused(
      AttemptKey key, RefusalReason reason, String message, Duration retryAfter) {
    return new Refused(settings.name(), key, reason, message, retryAfter.toMillis());
  }

  private void refuse(Instant now, ProcessId entry, Refused refusal) {
    explain(
        now,
        refusal.key(),
        "refused " + refusal.reason(),
        refusal.message(),
        ImmutableMap.of(
            "waiting", String.valueOf(queue.size()),
            "slotsHeld", String.valueOf(pool.ledger().totalHeld()),
            "slots", String.valueOf(pool.totalSlots())));
    send(entry, refusal);
  }

  private void send(ProcessId to, DispatchMessage message) {
    effects.add(new DispatchEffect.Send(to, message));
  }

  private void explain(
      Instant now,
      AttemptKey key,
      String outcome,
      String reason,
      ImmutableMap<String, String> inputs) {
    String subject = key.request() + " attempt " + key.attempt();
    effects.add(
        new DispatchEffect.Explain(new Decision(now, "routing", subject, outcome, reason, inputs)));
  }

  /** The copy goes out before the grants, so that it is on its way when an attempt starts. */
  private ImmutableList<DispatchEffect> finish(Instant now) {
    pool.advanceTo(now);
    refuseHopeless(now);
    grantWaiting(now);
    ImmutableList.Builder<DispatchEffect> inOrder = ImmutableList.builder();
    copy.next(() -> heldSlots(now).iterator()).ifPresent(inOrder::add);
    inOrder.addAll(effects.build());
    effects = ImmutableList.builder();
    return inOrder.build();
  }

  /** One start of an entry's process. */
  private record Holder(ProcessId entry, long incarnation) {}
}
