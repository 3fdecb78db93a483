package org.verbenawheel.fleet;

import java.time.InstantSource;
import org.verbenawheel.wire.PeerDirectory;
import org.verbenawheel.wire.PeerNode;
import org.verbenawheel.wire.SharedSecret;

/** Creates the peer node that connects a process to the others of its fleet deployment. */
final class FleetPeers {
  private FleetPeers() {}

  static PeerNode createNode(FleetSettings settings, InstantSource clock) {
    return PeerNode.builder()
        .self(settings.process())
        .listenAddress(settings.process().value())
        .peers(PeerDirectory.namedByAddress())
        .secret(SharedSecret.of(settings.sharedSecret()))
        .kinds(FleetMessages.KINDS)
        .clock(clock)
        .build();
  }
}
