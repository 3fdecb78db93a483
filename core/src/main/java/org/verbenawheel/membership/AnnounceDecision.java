package org.verbenawheel.membership;

import org.verbenawheel.identity.ProcessId;

/** Whether an entry answers an announcement itself or forwards it to the home entry. */
sealed interface AnnounceDecision {
  /**
   * This entry answers the announcement.
   *
   * @param reply the reply to the endpoint
   */
  record Answer(AnnounceReply reply) implements AnnounceDecision {}

  /**
   * Another entry holds the lease and answers the announcement.
   *
   * @param home the entry that holds the lease
   */
  record Forward(ProcessId home) implements AnnounceDecision {}
}
