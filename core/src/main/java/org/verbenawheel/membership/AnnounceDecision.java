package org.verbenawheel.membership;

import org.verbenawheel.identity.ProcessId;

/** What to do about an announcement. */
sealed interface AnnounceDecision {
  /**
   * Answer it here.
   *
   * @param reply the answer
   */
  record Answer(AnnounceReply reply) implements AnnounceDecision {}

  /**
   * Pass it on to the entry that holds the lease.
   *
   * @param home that entry
   */
  record Forward(ProcessId home) implements AnnounceDecision {}
}
