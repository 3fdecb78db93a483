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

/** Asks entries after slots that are held for long, since the word of their release may be lost. */
final class HoldQueries {
  private static final Duration QUERY_AFTER = Duration.ofSeconds(2);

  private HoldQueries() {}

  /** Returns the question for each entry that holds slots for long and can answer for them. */
  static ImmutableMap<ProcessId, DispatchMessage> of(
      ServiceName service, ImmutableList<SlotLease> leases, Takeover takeover, Instant now) {
    Instant old = now.minus(QUERY_AFTER);
    ImmutableListMultimap.Builder<ProcessId, SlotLease> oldLeases = ImmutableListMultimap.builder();
    for (SlotLease lease : leases) {
      if (lease.grantedAt().isBefore(old)
          && takeover.speaksForItself(lease.holder(), lease.holderIncarnation())) {
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
