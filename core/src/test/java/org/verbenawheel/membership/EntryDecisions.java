package org.verbenawheel.membership;

import com.google.common.collect.ImmutableList;
import java.time.Instant;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.peer.PeerMessage;

/** The membership of one entry, which {@link FakeEntries} drives; has two implementations. */
interface EntryDecisions {
  AnnounceDecision announce(EndpointAnnouncement announcement, Instant now);

  AnnounceReply announceLocally(EndpointAnnouncement announcement, Instant now);

  void leave(EndpointRecord endpoint, Instant now);

  void onMessage(ProcessId from, PeerMessage message, Instant now);

  void tick(Instant now);

  void queryPeers(Instant now);

  void beginStop();

  MembershipView view(Instant now);

  ImmutableList<OutgoingMessage> takeMessages();

  /** Creates the membership of an entry that starts. */
  interface Factory {
    EntryDecisions start(MembershipIdentity identity, MembershipTimings timings, Instant now);
  }
}
