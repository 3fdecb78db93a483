package org.verbenawheel.fleet;

import org.verbenawheel.codec.MessageCodec;
import org.verbenawheel.gateway.GatewayMessages;
import org.verbenawheel.peer.MessageKinds;
import org.verbenawheel.replication.ReplicationMessages;

/** All kinds of message that the processes of a fleet deployment send and keep in the log. */
final class FleetMessages {
  static final MessageKinds KINDS =
      MessageKinds.builder()
          .addAll(ReplicationMessages.KINDS)
          .addAll(GatewayMessages.KINDS)
          .build();

  static final MessageCodec CODEC = new MessageCodec(KINDS);

  private FleetMessages() {}
}
