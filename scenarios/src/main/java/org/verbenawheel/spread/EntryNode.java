package org.verbenawheel.spread;

import org.verbenawheel.membership.AnnounceReply;
import org.verbenawheel.membership.EndpointAnnouncement;
import org.verbenawheel.peer.PeerHandler;

/** One entry's membership in an experiment, in the chosen way or in the naive one. */
interface EntryNode extends PeerHandler {
  /** Starts the entry's timers. */
  void start();

  /** Stops the entry's timers at once. */
  void stop();

  /** Takes an endpoint's announcement. */
  AnnounceReply announce(EndpointAnnouncement announcement);

  /** Returns how many endpoints the entry would route to now. */
  int endpointsSeen();
}
