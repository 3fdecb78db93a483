package org.verbenawheel.dispatch;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.verbenawheel.admission.QueueOrder;
import org.verbenawheel.configuration.Configuration;
import org.verbenawheel.configuration.ServiceSettings;
import org.verbenawheel.dispatch.DispatchMessages.DispatchMessage;
import org.verbenawheel.dispatch.DispatchMessages.Grant;
import org.verbenawheel.dispatch.DispatchMessages.HoldQuery;
import org.verbenawheel.dispatch.DispatchMessages.LedgerCopy;
import org.verbenawheel.dispatch.DispatchMessages.LedgerCopyRequest;
import org.verbenawheel.dispatch.DispatchMessages.Queued;
import org.verbenawheel.dispatch.DispatchMessages.Refused;
import org.verbenawheel.dispatch.DispatchMessages.Registration;
import org.verbenawheel.dispatch.DispatchMessages.RegistrationRequest;
import org.verbenawheel.dispatch.DispatchMessages.Release;
import org.verbenawheel.dispatch.DispatchMessages.Ticket;
import org.verbenawheel.identity.EndpointId;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.identity.ServiceName;
import org.verbenawheel.membership.MembershipView;
import org.verbenawheel.routing.AttemptKey;
import org.verbenawheel.routing.AttemptReport;

/**
 * Holds one entry's state of slot allocation: the dispatchers that it is elected to run, the slots
 * and tickets of its own requests, and the elected dispatcher of each service.
 *
 * <p>Does no I/O and reads no clock; {@link #drainEffects} returns the effects for {@link
 * DispatchNode} to carry out. Not thread-safe.
 */
final class EntryDispatch {
  private final ProcessId self;
  private final QueueOrder order;
  private final long incarnation;
  private final EntrySlots slots;
  private final LedgerCopies copies = new LedgerCopies();
  private final Map<ServiceName, ServiceDispatcher> dispatchers = new HashMap<>();
  private final Map<ServiceName, ProcessId> elected = new HashMap<>();
  private final Deque<DispatchMessage> localMessages = new ArrayDeque<>();
  private MembershipView view = MembershipView.EMPTY;
  private Configuration configuration = Configuration.EMPTY;
  private ImmutableList.Builder<DispatchEffect> effects = ImmutableList.builder();

  EntryDispatch(ProcessId self, long incarnation, QueueOrder order) {
    this.self = self;
    this.incarnation = incarnation;
    this.order = order;
    this.slots = new EntrySlots(self, incarnation);
  }

  /** Sends a ticket to the service's dispatcher. The future completes when it is answered. */
  CompletableFuture<SlotDecision> requestSlot(
      Instant now,
      ServiceName service,
      AttemptKey key,
      String route,
      Instant deadline,
      ImmutableSet<EndpointId> avoid) {
    EntrySlots.PendingTicket ticket = slots.add(now, service, key, route, deadline, avoid);
    send(dispatcherOf(service), slots.toMessage(ticket, now));
    handleLocalMessages(now);
    return ticket.decision();
  }

  /** Withdraws the ticket of an attempt, if it is still pending. */
  void withdraw(Instant now, AttemptKey key) {
    slots.withdraw(key).ifPresent(release -> send(dispatcherOf(release.service()), release));
    handleLocalMessages(now);
  }

  /** Reports the end of an attempt to the service's dispatcher. */
  void release(Instant now, ServiceName service, AttemptKey key, AttemptReport report) {
    send(dispatcherOf(service), slots.release(now, service, key, report));
    handleLocalMessages(now);
  }

  /** Applies a new membership view: elects dispatchers again and updates those that run here. */
  void onView(Instant now, MembershipView newView) {
    view = newView;
    ImmutableSet<ServiceName> services =
        ImmutableSet.<ServiceName>builder()
            .addAll(configuration.services().keySet())
            .addAll(elected.keySet())
            .build();
    services.forEach(service -> elect(now, service));
    dispatchers.values().forEach(dispatcher -> addEffects(dispatcher.onView(now, newView)));
    handleLocalMessages(now);
  }

  /** Applies a new configuration: drops removed services and updates the others' settings. */
  void onConfiguration(Instant now, Configuration newConfiguration) {
    configuration = newConfiguration;
    dispatchers.keySet().retainAll(newConfiguration.services().keySet());
    elected.keySet().retainAll(newConfiguration.services().keySet());
    for (ServiceSettings settings : newConfiguration.services().values()) {
      ServiceDispatcher dispatcher = dispatchers.get(settings.name());
      if (dispatcher != null) {
        addEffects(dispatcher.onSettings(now, settings));
      }
      elect(now, settings.name());
    }
    handleLocalMessages(now);
  }

  /** Handles a message from another entry. */
  void onMessage(Instant now, ProcessId from, DispatchMessage message) {
    handle(now, from, message);
    handleLocalMessages(now);
  }

  /** Expires leases and tickets, resends tickets and runs the dispatchers' periodic work. */
  void onTick(Instant now) {
    copies.expire(now);
    slots.expire(now);
    for (EntrySlots.PendingTicket ticket : slots.takeTicketsToResend(now)) {
      send(dispatcherOf(ticket.service()), slots.toMessage(ticket, now));
    }
    dispatchers.values().forEach(dispatcher -> addEffects(dispatcher.onTick(now)));
    handleLocalMessages(now);
  }

  /** Hands every service over to its next entry in the ranking, because this entry stops. */
  void handOverAll(Instant now) {
    dispatchers.forEach(
        (service, dispatcher) ->
            DispatcherElection.ranking(service, view.liveEntries()).stream()
                .filter(entry -> !entry.equals(self))
                .findFirst()
                .ifPresent(next -> handOver(now, service, dispatcher, next)));
    dispatchers.clear();
    elected.clear();
  }

  /** Returns the effects collected since the last call, in order, and clears them. */
  ImmutableList<DispatchEffect> drainEffects() {
    ImmutableList<DispatchEffect> drained = effects.build();
    effects = ImmutableList.builder();
    return drained;
  }

  /** Returns how many of this entry's attempts wait for a slot, over all services. */
  int waiting() {
    return slots.waiting();
  }

  /** Returns how many slots this entry's attempts hold, over all services. */
  int held() {
    return slots.held();
  }

  /** Returns the state of each dispatcher that runs on this entry. */
  ImmutableList<ImmutableMap<String, String>> dump(Instant now) {
    return dispatchers.values().stream()
        .map(dispatcher -> dispatcher.dump(now))
        .collect(ImmutableList.toImmutableList());
  }

  private void elect(Instant now, ServiceName service) {
    ProcessId newDispatcher =
        DispatcherElection.ranking(service, view.liveEntries()).stream().findFirst().orElse(self);
    ProcessId oldDispatcher = elected.put(service, newDispatcher);
    if (newDispatcher.equals(oldDispatcher)) {
      return;
    }
    ServiceDispatcher resigning = dispatchers.get(service);
    if (resigning != null) {
      dispatchers.remove(service);
      handOver(now, service, resigning, newDispatcher);
    }
    if (newDispatcher.equals(self)) {
      becomeDispatcher(now, service);
    }
    send(newDispatcher, slots.registration(now, service, copies.heldSlots(service, now)));
  }

  private void becomeDispatcher(Instant now, ServiceName service) {
    ServiceSettings settings = configuration.services().get(service);
    if (settings == null) {
      return;
    }
    ServiceDispatcher dispatcher = new ServiceDispatcher(self, settings, order);
    dispatchers.put(service, dispatcher);
    addEffects(dispatcher.onView(now, view));
    addEffects(
        dispatcher.onLedgerCopy(
            now, LedgerCopy.ofHandOver(service, copies.heldSlots(service, now))));
    copies.remove(service);
  }

  private void handOver(
      Instant now, ServiceName service, ServiceDispatcher dispatcher, ProcessId next) {
    LedgerCopy copy = LedgerCopy.ofHandOver(service, dispatcher.heldSlots(now));
    send(next, copy);
    boolean unused = copies.add(now, copy);
  }

  private void handleLocalMessages(Instant now) {
    while (!localMessages.isEmpty()) {
      handle(now, self, localMessages.removeFirst());
    }
  }

  private void handle(Instant now, ProcessId from, DispatchMessage message) {
    if (message instanceof Ticket ticket) {
      updateDispatcher(ticket.service(), dispatcher -> dispatcher.onTicket(now, from, ticket));
    } else if (message instanceof Release release) {
      updateDispatcher(release.service(), dispatcher -> dispatcher.onRelease(now, release));
    } else if (message instanceof Registration registration) {
      updateDispatcher(
          registration.service(), dispatcher -> dispatcher.onRegistration(now, from, registration));
    } else if (message instanceof LedgerCopy copy) {
      onLedgerCopy(now, from, copy);
    } else if (message instanceof LedgerCopyRequest request) {
      updateDispatcher(request.service(), dispatcher -> dispatcher.onLedgerCopyRequest(now));
    } else if (message instanceof Grant grant) {
      onGrant(now, from, grant);
    } else if (message instanceof Refused refusal) {
      slots.onRefused(refusal);
    } else if (message instanceof Queued queued) {
      slots.onQueued(now, queued.key());
    } else if (message instanceof RegistrationRequest request) {
      onRegistrationRequest(now, from, request);
    } else if (message instanceof HoldQuery query) {
      slots.releasesFor(query).forEach(release -> send(from, release));
    }
  }

  private void updateDispatcher(
      ServiceName service, Function<ServiceDispatcher, ImmutableList<DispatchEffect>> event) {
    ServiceDispatcher dispatcher = dispatchers.get(service);
    if (dispatcher != null) {
      addEffects(event.apply(dispatcher));
    }
  }

  private void onLedgerCopy(Instant now, ProcessId from, LedgerCopy copy) {
    ServiceDispatcher dispatcher = dispatchers.get(copy.service());
    if (dispatcher != null) {
      addEffects(dispatcher.onLedgerCopy(now, copy));
    } else if (!copies.add(now, copy)) {
      send(from, new LedgerCopyRequest(copy.service()));
    }
  }

  /**
   * Accepts grants only from the elected dispatcher, which has this entry's registration. A slot of
   * an earlier dispatcher is given back.
   */
  private void onGrant(Instant now, ProcessId from, Grant grant) {
    if (!from.equals(dispatcherOf(grant.service()))) {
      send(from, new Release(grant.service(), grant.key(), AttemptReport.UNUSED));
      return;
    }
    slots.onGrant(now, grant).ifPresent(release -> send(from, release));
  }

  private void onRegistrationRequest(Instant now, ProcessId from, RegistrationRequest request) {
    if (from.equals(dispatcherOf(request.service()))) {
      send(
          from,
          slots.registration(now, request.service(), copies.heldSlots(request.service(), now)));
    }
  }

  private ProcessId dispatcherOf(ServiceName service) {
    return elected.getOrDefault(service, self);
  }

  private void addEffects(ImmutableList<DispatchEffect> added) {
    for (DispatchEffect effect : added) {
      if (effect instanceof DispatchEffect.Send send) {
        send(send.to(), send.message());
      } else {
        effects.add(effect);
      }
    }
  }

  private void send(ProcessId to, DispatchMessage message) {
    if (to.equals(self)) {
      localMessages.addLast(message);
      return;
    }
    effects.add(new DispatchEffect.Send(to, message));
  }

  /** Returns the incarnation of this entry's process, its start time in epoch milliseconds. */
  long incarnation() {
    return incarnation;
  }
}
