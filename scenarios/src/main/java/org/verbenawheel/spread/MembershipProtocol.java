package org.verbenawheel.spread;

import com.google.common.collect.ImmutableSet;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.peer.PeerLinks;

/** Membership protocols that the experiments compare; the names are printed in their tables. */
enum MembershipProtocol {
  /** Sends changes and digests; a starting entry requests the state of the others. */
  CHANGES {
    @Override
    EntryNode newNode(ProcessId self, ImmutableSet<ProcessId> entries, PeerLinks links) {
      return new ProductionNode(self, entries, links, /* asksOnArrival= */ true);
    }
  },
  /** Sends changes and digests; a starting entry waits for the others' heartbeats. */
  CHANGES_WITHOUT_ASKING {
    @Override
    EntryNode newNode(ProcessId self, ImmutableSet<ProcessId> entries, PeerLinks links) {
      return new ProductionNode(self, entries, links, /* asksOnArrival= */ false);
    }
  },
  /** Sends the whole endpoint list on a timer. */
  WHOLE_LISTS {
    @Override
    EntryNode newNode(ProcessId self, ImmutableSet<ProcessId> entries, PeerLinks links) {
      return new WholeListNode(self, entries, links);
    }
  };

  /** Creates the membership component of one entry; the caller starts it. */
  abstract EntryNode newNode(ProcessId self, ImmutableSet<ProcessId> entries, PeerLinks links);
}
