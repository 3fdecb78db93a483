package org.verbenawheel.host;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.verbenawheel.codec.MalformedMessageException;
import org.verbenawheel.codec.MessageCodec;
import org.verbenawheel.host.HostOrderCommands.HostOrderRecorded;
import org.verbenawheel.host.HostOrderCommands.RecordHostOrder;
import org.verbenawheel.peer.MessageKinds;
import org.verbenawheel.peer.PeerMessage;
import org.verbenawheel.replication.ApplyContext;
import org.verbenawheel.replication.CommandReply;
import org.verbenawheel.replication.ControlCommand;
import org.verbenawheel.replication.DamagedSnapshotException;
import org.verbenawheel.replication.StatePart;

/**
 * Holds the recent orders for hosts in the replicated state. Each is committed before it is sent to
 * the platform.
 *
 * <p>Two leaders must not send orders for the same host shortly after each other. Thanks to these
 * entries a new leader must wait only for the hosts that its predecessor may have sent orders for,
 * and not for all hosts.
 */
public final class HostOrderRegistry implements StatePart {
  /**
   * How long an order is kept: much longer than an order is in transit, and than two leaders'
   * clocks differ.
   */
  public static final Duration RETENTION = Duration.ofSeconds(20);

  private static final int SNAPSHOT_KIND = 1;

  private final MessageCodec codec =
      new MessageCodec(MessageKinds.builder().add(SNAPSHOT_KIND, HostOrdersSnapshot.class).build());
  private final Map<String, HostOrder> orders = new LinkedHashMap<>();

  /** Returns the latest order for a host; empty if there is none or it was deleted as too old. */
  public Optional<HostOrder> latest(String host) {
    return Optional.ofNullable(orders.get(host));
  }

  /** Returns the latest order for each host that has a recent one. */
  public ImmutableList<HostOrder> recent() {
    return ImmutableList.copyOf(orders.values());
  }

  @Override
  public String name() {
    return "host-orders";
  }

  @Override
  public ImmutableSet<Class<? extends ControlCommand>> commandKinds() {
    return ImmutableSet.of(RecordHostOrder.class);
  }

  @Override
  public CommandReply apply(ControlCommand command, ApplyContext context) {
    if (command instanceof RecordHostOrder order) {
      Instant now = context.stateTime();
      orders.values().removeIf(earlier -> now.isAfter(earlier.recordedAt().plus(RETENTION)));
      orders.put(order.host(), new HostOrder(order.host(), order.pool(), order.term(), now));
    }
    return new HostOrderRecorded();
  }

  @Override
  public byte[] snapshot() {
    return codec.encode(new HostOrdersSnapshot(recent()));
  }

  @Override
  public void restore(byte[] snapshot) throws DamagedSnapshotException {
    orders.clear();
    try {
      ((HostOrdersSnapshot) codec.decode(snapshot))
          .orders()
          .forEach(order -> orders.put(order.host(), order));
    } catch (MalformedMessageException malformed) {
      throw new DamagedSnapshotException(
          "the host orders in the snapshot cannot be read; replace this replica", malformed);
    }
  }

  @Override
  public Object dump() {
    return recent();
  }

  /** The form of this part in a snapshot. */
  record HostOrdersSnapshot(ImmutableList<HostOrder> orders) implements PeerMessage {}
}
