package org.verbenawheel.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;

/** Says which of the waiting tickets of one class is granted a slot first. */
public enum QueueOrder {
  /** The oldest first. */
  FIRST_COME,
  /** The oldest first; the newest first while the oldest has waited for long. */
  LAST_COME_UNDER_OVERLOAD {
    @Override
    boolean takesLast(Duration wait) {
      return wait.compareTo(OVERLOAD_WAIT) > 0;
    }
  },
  /** The oldest first; refuses those that waited past a target, as CoDel drops packets. */
  CONTROLLED_DELAY {
    @Override
    boolean refuses(WaitingTicket ticket, Instant now) {
      return Duration.between(ticket.arrivedAt(), now).compareTo(CONTROLLED_DELAY_LIMIT) > 0;
    }
  },
  /** The one with the nearest deadline first. */
  EARLIEST_DEADLINE {
    @Override
    Comparator<WaitingTicket> primary() {
      return Comparator.comparing(WaitingTicket::deadline);
    }

    @Override
    int ahead(int waiting, int withEarlierDeadline) {
      return withEarlierDeadline;
    }
  },
  /** The one with the shortest likely run time first. */
  SHORTEST_EXPECTED {
    @Override
    Comparator<WaitingTicket> primary() {
      return Comparator.comparing(WaitingTicket::likelyRunTime);
    }
  };

  private static final Duration OVERLOAD_WAIT = Duration.ofMillis(100);
  private static final Duration CONTROLLED_DELAY_LIMIT = Duration.ofMillis(500);

  /** Returns the order in which tickets stand in the queue. */
  Comparator<WaitingTicket> comparator() {
    return primary().thenComparing(WaitingTicket::arrivedAt).thenComparing(WaitingTicket::key);
  }

  /**
   * Returns whether the last in the queue goes first.
   *
   * @param wait how long the first in the queue has waited
   */
  boolean takesLast(Duration wait) {
    return false;
  }

  /** Returns whether a ticket whose turn it is has waited too long to be granted. */
  boolean refuses(WaitingTicket ticket, Instant now) {
    return false;
  }

  /** Returns how many of the waiting tickets go before a new one. */
  int ahead(int waiting, int withEarlierDeadline) {
    return waiting;
  }

  /** Returns the first criterion of the order. */
  Comparator<WaitingTicket> primary() {
    return Comparator.comparing(WaitingTicket::arrivedAt);
  }
}
