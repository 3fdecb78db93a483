package org.verbenawheel.dispatch;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.time.Instant;
import org.verbenawheel.dispatch.DispatchMessages.DispatchMessage;
import org.verbenawheel.dispatch.DispatchMessages.HoldQuery;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.identity.ServiceName;
import org.verbenawheel.routing.AttemptKey;
import org.verbenawheel.routing.SlotLease;

/**
 * Builds the queries to entries about slots that have been held for long, since the message that
 * released a slot may have been lost.
 */
final class HoldQueries {
  private static final Duration QUERY_AGE = Duration.ofSeconds(2);

  private HoldQueries() {}

  /**
   * Returns one query for each registered entry that has held slots for longer than {@link
   * #QUERY_AGE}. An entry whose process restarted has no record of its earlier slots.
   */
  static ImmutableMap<ProcessId, DispatchMessage> forLongHeldSlots(
      ServiceName service,
      ImmutableList<SlotLease> leases,
      RegistrationTracker registrations,
      Instant now) {
    Instant grantedBefore = now.minus(QUERY_AGE);
    ImmutableListMultimap.Builder<ProcessId, SlotLease> oldLeases = ImmutableListMultimap.builder();
    for (SlotLease lease : leases) {
      if (lease.grantedAt().isBefore(grantedBefore)
          && registrations.isRegistered(lease.holder(), lease.holderIncarnation())) {
        oldLeases.put(lease.holder(), lease);
      }
    }
    ImmutableMap.Builder<ProcessId, DispatchMessage> queries = ImmutableMap.builder();
    oldLeases
        .build()
        .asMap()
        .forEach((holder, held) -> queries.put(holder, queryOf(service, held)));
    return queries.buildOrThrow();
  }

  private static HoldQuery queryOf(ServiceName service, Iterable<SlotLease> held) {
    ImmutableList.Builder<AttemptKey> keys = ImmutableList.builder();
    long incarnation = 0;
    for (SlotLease lease : held) {
      keys.add(lease.key());
      incarnation = lease.holderIncarnation();
    }
    return new HoldQuery(service, incarnation, keys.build());
  }
}
