package org.verbenawheel.membership;

import com.google.common.collect.ImmutableList;
import java.time.Instant;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.peer.PeerMessage;

/** The decisions of one entry, as the fakes drive the chosen way and the naive one alike. */
interface EntryDecisions {
  AnnounceDecision announce(EndpointAnnouncement announcement, Instant now);

  AnnounceReply announceHere(EndpointAnnouncement announcement, Instant now);

  void leave(EndpointRecord endpoint, Instant now);

  void onMessage(ProcessId from, PeerMessage message, Instant now);

  void tick(Instant now);

  void askOnArrival(Instant now);

  void beginStop();

  MembershipView view(Instant now);

  ImmutableList<OutgoingMessage> takeMessages();

  /** Makes the decisions of an entry that starts. */
  interface Factory {
    EntryDecisions start(MembershipIdentity identity, MembershipTimings timings, Instant now);
  }
}
