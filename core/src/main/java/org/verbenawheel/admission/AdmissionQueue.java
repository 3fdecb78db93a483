package org.verbenawheel.admission;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.TreeSet;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.routing.AttemptKey;

/**
 * Holds the tickets of one service that wait for a slot, by class, in one order.
 *
 * <p>Its owner bounds it. Not safe for use by many threads.
 */
public final class AdmissionQueue {
  private static final Comparator<WaitingTicket> BY_DEADLINE =
      Comparator.comparing(WaitingTicket::deadline).thenComparing(WaitingTicket::key);

  private final QueueOrder order;
  private final Map<AttemptKey, WaitingTicket> tickets = new HashMap<>();
  private final NavigableSet<WaitingTicket> byDeadline = new TreeSet<>(BY_DEADLINE);
  private final EnumMap<WorkLength, DeadlineCounts> deadlines = new EnumMap<>(WorkLength.class);
  private final EnumMap<WorkLength, NavigableSet<WaitingTicket>> byLength =
      new EnumMap<>(WorkLength.class);

  /**
   * Makes an empty queue.
   *
   * @param order which ticket of a class goes first
   */
  public AdmissionQueue(QueueOrder order) {
    this.order = order;
    for (WorkLength length : WorkLength.values()) {
      byLength.put(length, new TreeSet<>(order.comparator()));
      deadlines.put(length, new DeadlineCounts());
    }
  }

  /**
   * Adds a ticket, unless one of the same attempt waits already.
   *
   * @param ticket the ticket
   */
  public void add(WaitingTicket ticket) {
    if (tickets.putIfAbsent(ticket.key(), ticket) == null) {
      byDeadline.add(ticket);
      ofLength(ticket.length()).add(ticket);
      deadlinesOf(ticket.length()).add(ticket.deadline());
    }
  }

  /**
   * Removes the ticket of an attempt.
   *
   * @param key the attempt
   * @return the ticket; empty if none waited
   */
  public Optional<WaitingTicket> remove(AttemptKey key) {
    WaitingTicket ticket = tickets.remove(key);
    if (ticket == null) {
      return Optional.empty();
    }
    byDeadline.remove(ticket);
    ofLength(ticket.length()).remove(ticket);
    deadlinesOf(ticket.length()).remove(ticket.deadline());
    return Optional.of(ticket);
  }

  /**
   * Returns the ticket of a class whose turn it is, and leaves it in the queue.
   *
   * @param length the class
   * @param now the present moment
   */
  public Optional<WaitingTicket> peek(WorkLength length, Instant now) {
    NavigableSet<WaitingTicket> waiting = ofLength(length);
    if (waiting.isEmpty()) {
      return Optional.empty();
    }
    Duration oldestWait = Duration.between(waiting.first().arrivedAt(), now);
    return Optional.of(order.takesLast(oldestWait) ? waiting.last() : waiting.first());
  }

  /**
   * Returns the first few tickets of a class in their order.
   *
   * @param length the class
   * @param now the present moment
   * @param limit how many at most
   */
  public ImmutableList<WaitingTicket> first(WorkLength length, Instant now, int limit) {
    NavigableSet<WaitingTicket> waiting = ofLength(length);
    if (waiting.isEmpty()) {
      return ImmutableList.of();
    }
    Duration oldestWait = Duration.between(waiting.first().arrivedAt(), now);
    NavigableSet<WaitingTicket> ordered =
        order.takesLast(oldestWait) ? waiting.descendingSet() : waiting;
    return ordered.stream().limit(limit).collect(ImmutableList.toImmutableList());
  }

  /**
   * Removes the tickets that are to be refused: their deadline can no longer be met.
   *
   * @param now the present moment
   * @return the tickets removed
   */
  public ImmutableList<WaitingTicket> removeHopeless(Instant now) {
    ImmutableList.Builder<WaitingTicket> hopeless = ImmutableList.builder();
    while (!byDeadline.isEmpty() && !byDeadline.first().deadline().isAfter(now)) {
      remove(byDeadline.first().key()).ifPresent(hopeless::add);
    }
    for (WorkLength length : WorkLength.values()) {
      removeHopeless(length, now, hopeless);
    }
    return hopeless.build();
  }

  /**
   * Removes all tickets of an entry.
   *
   * @param entry the entry
   */
  public void removeAllOf(ProcessId entry) {
    tickets.values().stream()
        .filter(ticket -> ticket.entry().equals(entry))
        .collect(ImmutableList.toImmutableList())
        .forEach(ticket -> remove(ticket.key()));
  }

  /**
   * Returns whether an attempt waits.
   *
   * @param key the attempt
   */
  public boolean contains(AttemptKey key) {
    return tickets.containsKey(key);
  }

  /** Returns how many tickets wait. */
  public int size() {
    return tickets.size();
  }

  /**
   * Returns how many tickets of a class wait.
   *
   * @param length the class
   */
  public int size(WorkLength length) {
    return ofLength(length).size();
  }

  /**
   * Returns how many tickets of a class would go before a new one.
   *
   * @param length the class
   * @param deadline the new ticket's deadline
   */
  public int ahead(WorkLength length, Instant deadline) {
    return order.ahead(size(length), deadlinesOf(length).before(deadline));
  }

  private void removeHopeless(
      WorkLength length, Instant now, ImmutableList.Builder<WaitingTicket> hopeless) {
    Optional<WaitingTicket> next = peek(length, now);
    while (next.isPresent() && isHopeless(next.get(), now)) {
      remove(next.get().key()).ifPresent(hopeless::add);
      next = peek(length, now);
    }
  }

  private boolean isHopeless(WaitingTicket ticket, Instant now) {
    return !ticket.canMeetDeadline(now) || order.refuses(ticket, now);
  }

  private NavigableSet<WaitingTicket> ofLength(WorkLength length) {
    return byLength.computeIfAbsent(length, missing -> new TreeSet<>(order.comparator()));
  }

  private DeadlineCounts deadlinesOf(WorkLength length) {
    return deadlines.computeIfAbsent(length, missing -> new DeadlineCounts());
  }
}
