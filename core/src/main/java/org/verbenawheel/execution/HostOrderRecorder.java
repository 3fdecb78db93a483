package org.verbenawheel.execution;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.verbenawheel.event.Event;
import org.verbenawheel.event.EventLine;
import org.verbenawheel.host.HostOrder;
import org.verbenawheel.host.HostOrderCommands.RecordHostOrder;
import org.verbenawheel.host.HostOrderRegistry;

/**
 * Commits a record of each order for a host before the order is sent, and blocks orders for hosts
 * that an earlier leader may have ordered within its order lease. Confined to the state thread.
 *
 * <p>A recorded order is sent on a later tick, since only a tick is certain to run while this
 * process may decide: a process that was suspended while the record was committed must not send the
 * order.
 */
final class HostOrderRecorder {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * How long after its record an order may be sent: a later leader must still find the record by
   * then.
   */
  private static final Duration RECORD_VALIDITY = HostOrderRegistry.RETENTION.dividedBy(4);

  /** An order without an answer may still be carried out for this long: the timeout of the call. */
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);

  /** The wall clocks of two hosts differ by less than this, unless a broken clock jumps. */
  private static final Duration MAXIMUM_CLOCK_SKEW = Duration.ofMillis(1_500);

  private final FleetContext context;
  private final HostOrderRegistry hostOrderRegistry;
  private final CommandSink sink;
  private final long term;
  private final Duration orderLease;
  private final Set<String> commitsInFlight = new HashSet<>();
  private final Map<String, Instant> recordedAt = new HashMap<>();

  /**
   * Creates a recorder for one leadership.
   *
   * @param orderLease how long after a leader's order for a host no other leader may order it
   */
  HostOrderRecorder(
      FleetContext context,
      HostOrderRegistry hostOrderRegistry,
      CommandSink sink,
      long term,
      Duration orderLease) {
    this.context = context;
    this.hostOrderRegistry = hostOrderRegistry;
    this.sink = sink;
    this.term = term;
    this.orderLease = orderLease;
  }

  /** Returns whether no earlier leader's order for a host can be so recent that it conflicts. */
  boolean mayOrder(String host, Instant now) {
    boolean leaseOfEarlierLeadersOver = !now.isBefore(context.leadingSince().plus(orderLease));
    return leaseOfEarlierLeadersOver
        || hostOrderRegistry
            .latest(host)
            .filter(order -> order.term() != term && isRecent(order))
            .isEmpty();
  }

  private boolean isRecent(HostOrder order) {
    Instant oldestConflict =
        context.leadingSince().minus(orderLease).minus(CALL_TIMEOUT).minus(MAXIMUM_CLOCK_SKEW);
    return order.recordedAt().isAfter(oldestConflict);
  }

  /**
   * Commits the record of an order, unless one for the host is being committed.
   *
   * @param pool the pool that the host is to join; empty if it is to go down for maintenance
   */
  void record(String host, String pool) {
    if (!commitsInFlight.add(host)) {
      return;
    }
    context.whenDone(
        sink.commit(new RecordHostOrder(host, pool, term)),
        (reply, failure) -> {
          commitsInFlight.remove(host);
          if (failure == null) {
            recordedAt.put(host, context.now());
          } else {
            logger.atWarning().log(
                "%s",
                EventLine.of(Event.HOST_ACTIVITY_PHASE)
                    .with("host", host)
                    .with("to_pool", pool)
                    .with("outcome", "not recorded, so not ordered: " + failure));
          }
        });
  }

  /**
   * Returns whether an order for a host is recorded, and removes the record: the caller must send
   * the order now.
   */
  boolean consumeRecord(String host) {
    Instant committedAt = recordedAt.remove(host);
    return committedAt != null && context.now().isBefore(committedAt.plus(RECORD_VALIDITY));
  }
}
