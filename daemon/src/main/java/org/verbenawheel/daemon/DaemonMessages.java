package org.verbenawheel.daemon;

import org.verbenawheel.capacity.CapacityMessages;
import org.verbenawheel.claim.ClaimCommands;
import org.verbenawheel.codec.MessageCodec;
import org.verbenawheel.configuration.ConfigurationMessages;
import org.verbenawheel.dispatch.DispatchMessages;
import org.verbenawheel.maintenance.MaintenanceCommands;
import org.verbenawheel.membership.MembershipMessages;
import org.verbenawheel.peer.MessageKinds;
import org.verbenawheel.pool.PoolCommands;
import org.verbenawheel.replication.ReplicationMessages;

/** Lists every kind of message that the daemons exchange or store in the replicated log. */
public final class DaemonMessages {
  /** The kinds with their numbers on the wire. */
  public static final MessageKinds KINDS =
      MessageKinds.builder()
          .addAll(ReplicationMessages.KINDS)
          .addAll(MembershipMessages.KINDS)
          .addAll(DispatchMessages.KINDS)
          .addAll(ConfigurationMessages.KINDS)
          .addAll(ClaimCommands.KINDS)
          .addAll(PoolCommands.KINDS)
          .addAll(MaintenanceCommands.KINDS)
          .addAll(CapacityMessages.KINDS)
          .build();

  /** Encodes and decodes messages of {@link #KINDS}. */
  public static final MessageCodec CODEC = new MessageCodec(KINDS);

  private DaemonMessages() {}
}
