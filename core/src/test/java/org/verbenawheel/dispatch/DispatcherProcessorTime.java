package org.verbenawheel.dispatch;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import org.verbenawheel.admission.QueueOrder;
import org.verbenawheel.dispatch.DispatchMessages.Grant;
import org.verbenawheel.dispatch.DispatchMessages.Registration;
import org.verbenawheel.dispatch.DispatchMessages.Release;
import org.verbenawheel.dispatch.DispatchMessages.Ticket;
import org.verbenawheel.identity.AvailabilityZone;
import org.verbenawheel.identity.EndpointId;
import org.verbenawheel.identity.HostName;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.identity.Rack;
import org.verbenawheel.identity.RequestId;
import org.verbenawheel.membership.EndpointRecord;
import org.verbenawheel.membership.MembershipView;
import org.verbenawheel.routing.AttemptKey;
import org.verbenawheel.routing.AttemptReport;
import org.verbenawheel.routing.AttemptResult;

/** Measures the real time that one dispatcher takes to grant a ticket and to free its slot. */
final class DispatcherProcessorTime {
  private static final ProcessId ENTRY = new ProcessId("entry-0");
  private static final AttemptReport ANSWERED = new AttemptReport(20, AttemptResult.ANSWERED, true);

  private final ServiceDispatcher dispatcher =
      new ServiceDispatcher(ENTRY, TestDeployment.settings().build(), QueueOrder.EARLIEST_DEADLINE);
  private final Deque<AttemptKey> held = new ArrayDeque<>();
  private Instant now = Instant.EPOCH;
  private int tickets;

  DispatcherProcessorTime(int endpoints, int waiting) {
    ImmutableMap.Builder<EndpointId, EndpointRecord> records = ImmutableMap.builder();
    for (int index = 0; index < endpoints; index++) {
      EndpointId id = new EndpointId("runner-" + index);
      records.put(
          id,
          new EndpointRecord(
              id,
              TestDeployment.SERVICE,
              new HostName("host-" + index),
              new Rack("rack-" + index / 4),
              new AvailabilityZone("zone-" + index % 3),
              "127.0.0.1:1",
              TestDeployment.SLOTS,
              64,
              1));
    }
    collectGrants(
        dispatcher.onView(
            now, new MembershipView(1, records.buildOrThrow(), ImmutableSet.of(ENTRY))));
    collectGrants(
        dispatcher.onRegistration(
            now,
            ENTRY,
            new Registration(
                TestDeployment.SERVICE,
                1,
                ImmutableList.of(),
                ImmutableList.of(),
                ImmutableList.of())));
    int initialTickets = waiting == 0 ? endpoints * TestDeployment.SLOTS / 2 : waiting;
    int slotsToFill = waiting == 0 ? 0 : endpoints * TestDeployment.SLOTS;
    for (int index = 0; index < initialTickets + slotsToFill; index++) {
      sendTicket();
    }
  }

  /** Returns the mean microseconds of one round: a ticket arrives and a held slot is released. */
  double run(int rounds) {
    long startNanos = System.nanoTime();
    for (int round = 0; round < rounds; round++) {
      now = now.plusNanos(20_000);
      sendTicket();
      collectGrants(
          dispatcher.onRelease(
              now, new Release(TestDeployment.SERVICE, held.removeFirst(), ANSWERED)));
    }
    return (System.nanoTime() - startNanos) / 1e3 / rounds;
  }

  private void sendTicket() {
    AttemptKey key = new AttemptKey(new RequestId("request-" + tickets++), 1);
    collectGrants(
        dispatcher.onTicket(
            now,
            ENTRY,
            new Ticket(TestDeployment.SERVICE, key, 1, "GET /quote", 60_000, ImmutableSet.of())));
  }

  private void collectGrants(ImmutableList<DispatchEffect> effects) {
    for (DispatchEffect effect : effects) {
      if (effect instanceof DispatchEffect.Send send && send.message() instanceof Grant grant) {
        held.addLast(grant.key());
      }
    }
  }
}
