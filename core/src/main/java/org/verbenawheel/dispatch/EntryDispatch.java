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
 * Decides what one entry does about slots: it runs the dispatchers that the entry is elected for,
 * and knows which dispatcher to ask for each service.
 *
 * <p>Does no I/O and reads no clock; {@link #drainEffects} returns what its shell must carry out.
 * Not safe for use by many threads.
 */
final class EntryDispatch {
  private final ProcessId self;
  private final QueueOrder order;
  private final long incarnation;
  private final SlotRequests requests;
  private final LedgerCopies copies = new LedgerCopies();
  private final Map<ServiceName, ServiceDispatcher> dispatchers = new HashMap<>();
  private final Map<ServiceName, ProcessId> elected = new HashMap<>();
  private final Deque<DispatchMessage> toSelf = new ArrayDeque<>();
  private MembershipView view = MembershipView.EMPTY;
  private Configuration configuration = Configuration.EMPTY;
  private ImmutableList.Builder<DispatchEffect> effects = ImmutableList.builder();

  EntryDispatch(ProcessId self, long incarnation, QueueOrder order) {
    this.self = self;
    this.incarnation = incarnation;
    this.order = order;
    this.requests = new SlotRequests(self, incarnation);
  }

  /** Asks for a slot. */
  CompletableFuture<SlotDecision> ask(
      Instant now,
      ServiceName service,
      AttemptKey key,
      String route,
      Instant deadline,
      ImmutableSet<EndpointId> avoid) {
    SlotRequests.Waiting ticket = requests.ask(now, service, key, route, deadline, avoid);
    send(dispatcherOf(service), requests.messageOf(ticket, now));
    handleToSelf(now);
    return ticket.decision();
  }

  /** Stops to wait for a slot. */
  void withdraw(Instant now, AttemptKey key) {
    requests.withdraw(key).ifPresent(release -> send(dispatcherOf(release.service()), release));
    handleToSelf(now);
  }

  /** Ends an attempt. */
  void release(Instant now, ServiceName service, AttemptKey key, AttemptReport report) {
    send(dispatcherOf(service), requests.release(now, service, key, report));
    handleToSelf(now);
  }

  /** Takes a view of the membership. */
  void onView(Instant now, MembershipView newView) {
    view = newView;
    ImmutableSet<ServiceName> services =
        ImmutableSet.<ServiceName>builder()
            .addAll(configuration.services().keySet())
            .addAll(elected.keySet())
            .build();
    services.forEach(service -> elect(now, service));
    dispatchers.values().forEach(dispatcher -> addEffects(dispatcher.onView(now, newView)));
    handleToSelf(now);
  }

  /** Takes a configuration. */
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
    handleToSelf(now);
  }

  /** Takes a message of another process. */
  void onMessage(Instant now, ProcessId from, DispatchMessage message) {
    handle(now, from, message);
    handleToSelf(now);
  }

  /** Lets time pass. */
  void onTick(Instant now) {
    copies.expire(now);
    requests.giveUpUnreachable(now);
    for (SlotRequests.Waiting ticket : requests.dueForResend(now)) {
      send(dispatcherOf(ticket.service()), requests.messageOf(ticket, now));
    }
    dispatchers.values().forEach(dispatcher -> addEffects(dispatcher.onTick(now)));
    handleToSelf(now);
  }

  /** Hands every service to the entry that is next, because this one stops. */
  void handOverAll(Instant now) {
    dispatchers.forEach(
        (service, dispatcher) ->
            DispatcherElection.ranking(service, view.liveEntries()).stream()
                .filter(entry -> !entry.equals(self))
                .findFirst()
                .ifPresent(next -> handOver(now, service, dispatcher, next)));
    dispatchers.clear();
  }

  /** Returns what to carry out since the last call, in order. */
  ImmutableList<DispatchEffect> drainEffects() {
    ImmutableList<DispatchEffect> drained = effects.build();
    effects = ImmutableList.builder();
    return drained;
  }

  /** Returns how many attempts wait for a slot. */
  int waiting() {
    return requests.waiting();
  }

  /** Returns how many slots this entry holds. */
  int held() {
    return requests.held();
  }

  /** Returns the state of each dispatcher that runs here. */
  ImmutableList<ImmutableMap<String, String>> dump(Instant now) {
    return dispatchers.values().stream()
        .map(dispatcher -> dispatcher.dump(now))
        .collect(ImmutableList.toImmutableList());
  }

  private void elect(Instant now, ServiceName service) {
    ProcessId winner =
        DispatcherElection.ranking(service, view.liveEntries()).stream().findFirst().orElse(self);
    ProcessId before = elected.put(service, winner);
    if (winner.equals(before)) {
      return;
    }
    ServiceDispatcher mine = dispatchers.get(service);
    if (mine != null) {
      dispatchers.remove(service);
      handOver(now, service, mine, winner);
    }
    if (winner.equals(self)) {
      becomeDispatcher(now, service);
    }
    send(winner, requests.registration(now, service, copies.of(service, now)));
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
        dispatcher.onLedgerCopy(now, LedgerCopy.ofHandOver(service, copies.of(service, now))));
    copies.forget(service);
  }

  private void handOver(
      Instant now, ServiceName service, ServiceDispatcher dispatcher, ProcessId next) {
    LedgerCopy copy = LedgerCopy.ofHandOver(service, dispatcher.heldSlots(now));
    send(next, copy);
    boolean unused = copies.add(now, copy);
  }

  private void handleToSelf(Instant now) {
    while (!toSelf.isEmpty()) {
      handle(now, self, toSelf.removeFirst());
    }
  }

  private void handle(Instant now, ProcessId from, DispatchMessage message) {
    if (message instanceof Ticket ticket) {
      ask(ticket.service(), dispatcher -> dispatcher.onTicket(now, from, ticket));
    } else if (message instanceof Release release) {
      ask(release.service(), dispatcher -> dispatcher.onRelease(now, release));
    } else if (message instanceof Registration registration) {
      ask(registration.service(), dispatcher -> dispatcher.onRegistration(now, from, registration));
    } else if (message instanceof LedgerCopy copy) {
      takeCopy(now, from, copy);
    } else if (message instanceof LedgerCopyRequest request) {
      ask(request.service(), dispatcher -> dispatcher.onLedgerCopyRequest(now));
    } else if (message instanceof Grant grant) {
      takeGrant(now, from, grant);
    } else if (message instanceof Refused refusal) {
      requests.onRefused(refusal);
    } else if (message instanceof Queued queued) {
      requests.onQueued(now, queued.key());
    } else if (message instanceof RegistrationRequest request) {
      register(now, from, request);
    } else if (message instanceof HoldQuery query) {
      requests.answer(query).forEach(release -> send(from, release));
    }
  }

  private void ask(
      ServiceName service, Function<ServiceDispatcher, ImmutableList<DispatchEffect>> event) {
    ServiceDispatcher dispatcher = dispatchers.get(service);
    if (dispatcher != null) {
      addEffects(event.apply(dispatcher));
    }
  }

  private void takeCopy(Instant now, ProcessId from, LedgerCopy copy) {
    ServiceDispatcher dispatcher = dispatchers.get(copy.service());
    if (dispatcher != null) {
      addEffects(dispatcher.onLedgerCopy(now, copy));
    } else if (!copies.add(now, copy)) {
      send(from, new LedgerCopyRequest(copy.service()));
    }
  }

  /** Only the dispatcher that knows all that this entry holds may add to it. */
  private void takeGrant(Instant now, ProcessId from, Grant grant) {
    if (!from.equals(dispatcherOf(grant.service()))) {
      send(from, new Release(grant.service(), grant.key(), AttemptReport.UNUSED));
      return;
    }
    requests.onGrant(now, grant).ifPresent(release -> send(from, release));
  }

  private void register(Instant now, ProcessId from, RegistrationRequest request) {
    if (from.equals(dispatcherOf(request.service()))) {
      send(from, requests.registration(now, request.service(), copies.of(request.service(), now)));
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
      toSelf.addLast(message);
      return;
    }
    effects.add(new DispatchEffect.Send(to, message));
  }

  /** Returns which start of this entry's process this is. */
  long incarnation() {
    return incarnation;
  }
}
