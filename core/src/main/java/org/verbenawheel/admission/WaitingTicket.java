package org.verbenawheel.admission;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.time.Instant;
import org.verbenawheel.identity.EndpointId;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.routing.AttemptKey;

/**
 * One attempt that waits for a slot.
 *
 * @param key the attempt
 * @param entry the entry that holds the request
 * @param entryIncarnation which start of that entry's process asks
 * @param route the kind of work
 * @param length the class of the work
 * @param likelyRunTime a time within which most runs of its route end
 * @param arrivedAt when the ticket came
 * @param deadline when an answer is worth nothing any more
 * @param avoid endpoints that already failed this request
 */
public record WaitingTicket(
    AttemptKey key,
    ProcessId entry,
    long entryIncarnation,
    String route,
    WorkLength length,
    Duration likelyRunTime,
    Instant arrivedAt,
    Instant deadline,
    ImmutableSet<EndpointId> avoid) {

  /**
   * Returns whether a slot granted now still gives the work its likely run time.
   *
   * @param now the present moment
   */
  public boolean canMeetDeadline(Instant now) {
    return now.plus(likelyRunTime).isBefore(deadline);
  }
}
