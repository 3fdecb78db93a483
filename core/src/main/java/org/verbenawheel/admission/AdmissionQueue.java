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
 * Queues the tickets of one service that wait for a slot, by class of work, in a {@link
 * QueueOrder}.
 *
 * <p>The queue does not limit its own size; its owner does. Not thread-safe.
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
   * Creates an empty queue.
   *
   * @param order the order in which the tickets of a class are granted slots
   */
  public AdmissionQueue(QueueOrder order) {
    this.order = order;
    for (WorkLength length : WorkLength.values()) {
      byLength.put(length, new TreeSet<>(order.comparator()));
      deadlines.put(length, new DeadlineCounts());
    }
  }

  /**
   * Adds a ticket, unless one of the same attempt is already queued.
   *
   * @param ticket the ticket
   */
  public void add(WaitingTicket ticket) {
    if (tickets.putIfAbsent(ticket.key(), ticket) == null) {
      byDeadline.add(ticket);
      ticketsOf(ticket.length()).add(ticket);
      deadlinesOf(ticket.length()).add(ticket.deadline());
    }
  }

  /**
   * Removes the ticket of an attempt.
   *
   * @param key the attempt
   * @return the ticket; empty if none was queued
   */
  public Optional<WaitingTicket> remove(AttemptKey key) {
    WaitingTicket ticket = tickets.remove(key);
    if (ticket == null) {
      return Optional.empty();
    }
    byDeadline.remove(ticket);
    ticketsOf(ticket.length()).remove(ticket);
    deadlinesOf(ticket.length()).remove(ticket.deadline());
    return Optional.of(ticket);
  }

  /**
   * Returns the next ticket of a class without removing it; empty if none is queued.
   *
   * @param length the class
   * @param now the current time; the order may depend on how long tickets have waited
   */
  public Optional<WaitingTicket> peek(WorkLength length, Instant now) {
    NavigableSet<WaitingTicket> waiting = ticketsOf(length);
    if (waiting.isEmpty()) {
      return Optional.empty();
    }
    Duration firstWait = Duration.between(waiting.first().arrivedAt(), now);
    return Optional.of(order.takesLast(firstWait) ? waiting.last() : waiting.first());
  }

  /**
   * Returns the first tickets of a class in their order without removing them.
   *
   * @param length the class
   * @param now the current time
   * @param limit the maximum number of tickets
   */
  public ImmutableList<WaitingTicket> first(WorkLength length, Instant now, int limit) {
    NavigableSet<WaitingTicket> waiting = ticketsOf(length);
    if (waiting.isEmpty()) {
      return ImmutableList.of();
    }
    Duration firstWait = Duration.between(waiting.first().arrivedAt(), now);
    NavigableSet<WaitingTicket> ordered =
        order.takesLast(firstWait) ? waiting.descendingSet() : waiting;
    return ordered.stream().limit(limit).collect(ImmutableList.toImmutableList());
  }

  /**
   * Removes the tickets that must be refused: all whose deadline has passed and, from the head of
   * each class, those that can no longer meet theirs or that the queue order refuses after their
   * wait.
   *
   * @param now the current time
   * @return the tickets removed
   */
  public ImmutableList<WaitingTicket> removeUnservable(Instant now) {
    ImmutableList.Builder<WaitingTicket> unservable = ImmutableList.builder();
    while (!byDeadline.isEmpty() && !byDeadline.first().deadline().isAfter(now)) {
      remove(byDeadline.first().key()).ifPresent(unservable::add);
    }
    for (WorkLength length : WorkLength.values()) {
      removeUnservable(length, now, unservable);
    }
    return unservable.build();
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
   * Returns whether the ticket of an attempt is queued.
   *
   * @param key the attempt
   */
  public boolean contains(AttemptKey key) {
    return tickets.containsKey(key);
  }

  /** Returns how many tickets are queued. */
  public int size() {
    return tickets.size();
  }

  /**
   * Returns how many tickets of a class are queued.
   *
   * @param length the class
   */
  public int size(WorkLength length) {
    return ticketsOf(length).size();
  }

  /**
   * Estimates how many queued tickets of a class would be granted a slot before a new one: the
   * whole class, unless the order is {@link QueueOrder#EARLIEST_DEADLINE}.
   *
   * @param length the class
   * @param deadline the new ticket's deadline
   */
  public int countAhead(WorkLength length, Instant deadline) {
    return order.countAhead(size(length), deadlinesOf(length).countUpTo(deadline));
  }

  private void removeUnservable(
      WorkLength length, Instant now, ImmutableList.Builder<WaitingTicket> unservable) {
    Optional<WaitingTicket> next = peek(length, now);
    while (next.isPresent() && isUnservable(next.get(), now)) {
      remove(next.get().key()).ifPresent(unservable::add);
      next = peek(length, now);
    }
  }

  private boolean isUnservable(WaitingTicket ticket, Instant now) {
    return !ticket.canMeetDeadline(now) || order.refusesAfterWait(ticket, now);
  }

  private NavigableSet<WaitingTicket> ticketsOf(WorkLength length) {
    return byLength.computeIfAbsent(length, missing -> new TreeSet<>(order.comparator()));
  }

  private DeadlineCounts deadlinesOf(WorkLength length) {
    return deadlines.computeIfAbsent(length, missing -> new DeadlineCounts());
  }
}
