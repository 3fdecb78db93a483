package org.verbenawheel.spread;

import org.verbenawheel.membership.AnnounceReply;
import org.verbenawheel.membership.EndpointAnnouncement;
import org.verbenawheel.peer.PeerHandler;

/** Membership component of one entry in an experiment, under one {@link MembershipProtocol}. */
interface EntryNode extends PeerHandler {
  /** Starts the entry's timers. */
  void start();

  /** Stops the entry's timers at once. */
  void stop();

  /**
   * Decides on an endpoint's announcement on the calling thread; returns the lease or a refusal.
   */
  AnnounceReply announce(EndpointAnnouncement announcement);

  /** Returns the number of endpoints that the entry would route to now. */
  int routableEndpoints();
}
