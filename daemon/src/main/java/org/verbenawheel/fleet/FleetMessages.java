package org.verbenawheel.fleet;

import org.verbenawheel.codec.MessageCodec;
import org.verbenawheel.gateway.GatewayMessages;
import org.verbenawheel.peer.MessageKinds;
import org.verbenawheel.replication.ReplicationMessages;

/** The message kinds and codec that a fleet deployment uses on the wire and in the log. */
final class FleetMessages {
  static final MessageKinds KINDS =
      MessageKinds.builder()
          .addAll(ReplicationMessages.KINDS)
          .addAll(GatewayMessages.KINDS)
          .build();

  static final MessageCodec CODEC = new MessageCodec(KINDS);

  private FleetMessages() {}
}
