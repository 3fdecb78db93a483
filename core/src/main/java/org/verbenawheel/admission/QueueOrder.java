package org.verbenawheel.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;

/** The order in which the queued tickets of one class are granted slots. */
public enum QueueOrder {
  /** Oldest ticket first. */
  FIRST_COME,
  /**
   * Oldest ticket first, but newest first while the oldest has waited past {@link #OVERLOAD_WAIT}.
   */
  LAST_COME_UNDER_OVERLOAD {
    @Override
    boolean takesLast(Duration wait) {
      return wait.compareTo(OVERLOAD_WAIT) > 0;
    }
  },
  /**
   * Oldest ticket first; refuses tickets that waited past {@link #CONTROLLED_DELAY_LIMIT}, as CoDel
   * drops packets.
   */
  CONTROLLED_DELAY {
    @Override
    boolean refusesAfterWait(WaitingTicket ticket, Instant now) {
      return Duration.between(ticket.arrivedAt(), now).compareTo(CONTROLLED_DELAY_LIMIT) > 0;
    }
  },
  /** Nearest deadline first. */
  EARLIEST_DEADLINE {
    @Override
    Comparator<WaitingTicket> primaryComparator() {
      return Comparator.comparing(WaitingTicket::deadline);
    }

    @Override
    int countAhead(int waiting, int withEarlierDeadline) {
      return withEarlierDeadline;
    }
  },
  /** Shortest likely run time first. */
  SHORTEST_EXPECTED {
    @Override
    Comparator<WaitingTicket> primaryComparator() {
      return Comparator.comparing(WaitingTicket::likelyRunTime);
    }
  };

  private static final Duration OVERLOAD_WAIT = Duration.ofMillis(100);
  private static final Duration CONTROLLED_DELAY_LIMIT = Duration.ofMillis(500);

  /** Returns the sort order of the queue; ties are broken by arrival and then by key. */
  Comparator<WaitingTicket> comparator() {
    return primaryComparator()
        .thenComparing(WaitingTicket::arrivedAt)
        .thenComparing(WaitingTicket::key);
  }

  /**
   * Returns whether the last ticket in the sort order is granted first.
   *
   * @param wait how long the first ticket in the sort order has waited
   */
  boolean takesLast(Duration wait) {
    return false;
  }

  /** Returns whether the next ticket has waited too long and must be refused. */
  boolean refusesAfterWait(WaitingTicket ticket, Instant now) {
    return false;
  }

  /**
   * Returns how many queued tickets are granted before a new one, given how many there are and how
   * many of them have no later deadline.
   */
  int countAhead(int waiting, int withEarlierDeadline) {
    return waiting;
  }

  /** Returns the main criterion of the sort order. */
  Comparator<WaitingTicket> primaryComparator() {
    return Comparator.comparing(WaitingTicket::arrivedAt);
  }
}
