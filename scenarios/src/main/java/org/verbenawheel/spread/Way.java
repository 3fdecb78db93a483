package org.verbenawheel.spread;

import com.google.common.collect.ImmutableSet;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.peer.PeerLinks;

/** The ways of membership that the experiments compare. */
enum Way {
  /** Changes and digests; a starting entry asks the others. */
  CHANGES {
    @Override
    EntryNode newNode(ProcessId self, ImmutableSet<ProcessId> entries, PeerLinks links) {
      return new ChosenNode(self, entries, links, /* asks= */ true);
    }
  },
  /** Changes and digests; a starting entry waits for the others' heartbeats. */
  CHANGES_WITHOUT_ASKING {
    @Override
    EntryNode newNode(ProcessId self, ImmutableSet<ProcessId> entries, PeerLinks links) {
      return new ChosenNode(self, entries, links, /* asks= */ false);
    }
  },
  /** Whole lists on a timer. */
  WHOLE_LISTS {
    @Override
    EntryNode newNode(ProcessId self, ImmutableSet<ProcessId> entries, PeerLinks links) {
      return new WholeListNode(self, entries, links);
    }
  };

  /** Makes the membership of one entry. */
  abstract EntryNode newNode(ProcessId self, ImmutableSet<ProcessId> entries, PeerLinks links);
}
