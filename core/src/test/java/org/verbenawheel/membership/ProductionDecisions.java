package org.verbenawheel.membership;

import com.google.common.collect.ImmutableList;
import java.time.Instant;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.membership.MembershipMessages.OneWayMessage;
import org.verbenawheel.peer.PeerMessage;

/** Adapts {@link EndpointMembership}, the implementation that entries run in production. */
final class ProductionDecisions implements EntryDecisions {
  private final EndpointMembership membership;

  ProductionDecisions(MembershipIdentity identity, MembershipTimings timings, Instant now) {
    this.membership = new EndpointMembership(identity, timings, now);
  }

  @Override
  public AnnounceDecision announce(EndpointAnnouncement announcement, Instant now) {
    return membership.announce(announcement, now);
  }

  @Override
  public AnnounceReply announceLocally(EndpointAnnouncement announcement, Instant now) {
    return membership.announceLocally(announcement, now);
  }

  @Override
  public void leave(EndpointRecord endpoint, Instant now) {
    membership.leave(endpoint.id(), endpoint.incarnation(), now);
  }

  @Override
  public void onMessage(ProcessId from, PeerMessage message, Instant now) {
    membership.onMessage(from, (OneWayMessage) message, now);
  }

  @Override
  public void tick(Instant now) {
    membership.tick(now);
  }

  @Override
  public void queryPeers(Instant now) {
    membership.queryPeers(now);
  }

  @Override
  public void beginStop() {
    membership.beginStop();
  }

  @Override
  public MembershipView view(Instant now) {
    return membership.view(now);
  }

  @Override
  public ImmutableList<OutgoingMessage> takeMessages() {
    return membership.takeEffects().messages();
  }
}
