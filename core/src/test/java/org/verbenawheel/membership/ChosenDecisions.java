package org.verbenawheel.membership;

import com.google.common.collect.ImmutableList;
import java.time.Instant;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.membership.MembershipMessages.SpreadMessage;
import org.verbenawheel.peer.PeerMessage;

/** The decisions that the product runs. */
final class ChosenDecisions implements EntryDecisions {
  private final EndpointMembership membership;

  ChosenDecisions(MembershipIdentity identity, MembershipTimings timings, Instant now) {
    this.membership = new EndpointMembership(identity, timings, now);
  }

  @Override
  public AnnounceDecision announce(EndpointAnnouncement announcement, Instant now) {
    return membership.announce(announcement, now);
  }

  @Override
  public AnnounceReply announceHere(EndpointAnnouncement announcement, Instant now) {
    return membership.announceHere(announcement, now);
  }

  @Override
  public void leave(EndpointRecord endpoint, Instant now) {
    membership.leave(endpoint.id(), endpoint.incarnation(), now);
  }

  @Override
  public void onMessage(ProcessId from, PeerMessage message, Instant now) {
    membership.onMessage(from, (SpreadMessage) message, now);
  }

  @Override
  public void tick(Instant now) {
    membership.tick(now);
  }

  @Override
  public void askOnArrival(Instant now) {
    membership.askOnArrival(now);
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
