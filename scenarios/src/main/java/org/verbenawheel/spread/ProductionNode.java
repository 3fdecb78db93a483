package org.verbenawheel.spread;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.membership.AnnounceReply;
import org.verbenawheel.membership.EndpointAnnouncement;
import org.verbenawheel.membership.MembershipNode;
import org.verbenawheel.peer.PeerLinks;
import org.verbenawheel.peer.PeerMessage;

/** Adapter for the membership protocol that entries use in production. */
final class ProductionNode implements EntryNode {
  private final MembershipNode node;

  ProductionNode(
      ProcessId self, ImmutableSet<ProcessId> entries, PeerLinks links, boolean asksOnArrival) {
    this.node =
        MembershipNode.builder()
            .self(self)
            .entries(entries)
            .links(links)
            .asksOnArrival(asksOnArrival)
            .build();
  }

  @Override
  public void start() {
    node.start(failure -> {});
  }

  @Override
  public void stop() {
    node.stop(Duration.ZERO);
  }

  @Override
  public AnnounceReply announce(EndpointAnnouncement announcement) {
    return node.announce(announcement);
  }

  @Override
  public int routableEndpoints() {
    return node.view().endpoints().size();
  }

  @Override
  public void onMessage(ProcessId from, PeerMessage message) {
    node.onMessage(from, message);
  }

  @Override
  public Optional<CompletableFuture<PeerMessage>> onRequest(ProcessId from, PeerMessage message) {
    return node.onRequest(from, message);
  }
}
