package org.verbenawheel.admission;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.time.Instant;
import org.verbenawheel.identity.EndpointId;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.routing.AttemptKey;

/**
 * An attempt that waits in a dispatcher's queue for a slot.
 *
 * @param key the attempt
 * @param entry the entry that holds the request
 * @param entryIncarnation identifies the start of that entry's process
 * @param route the kind of work
 * @param length the class of the work
 * @param likelyRunTime a time within which most runs of its route end; zero for a ticket that could
 *     start when it arrived
 * @param arrivedAt when the ticket arrived at the dispatcher
 * @param deadline the request's deadline
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
   * Returns whether a slot granted now leaves more than the likely run time until the deadline.
   *
   * @param now the current time
   */
  public boolean canMeetDeadline(Instant now) {
    return now.plus(likelyRunTime).isBefore(deadline);
  }
}
