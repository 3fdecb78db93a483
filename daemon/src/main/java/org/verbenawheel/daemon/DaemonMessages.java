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

/** Holds all kinds of message that the daemons send one another and keep in the log. */
public final class DaemonMessages {
  /** All kinds. */
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

  /** Encodes and decodes all kinds. */
  public static final MessageCodec CODEC = new MessageCodec(KINDS);

  private DaemonMessages() {}
}
