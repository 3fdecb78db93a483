package org.verbenawheel.routing;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.Multiset;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.verbenawheel.identity.EndpointId;

/**
 * Counts the slots that are held at each endpoint, and how many of them by long work.
 *
 * <p>A slot stays held until its lease is ended or expires, because an attempt that timed out or
 * lost its caller still runs at the endpoint. Not thread-safe.
 */
public final class SlotLedger {
  private static final Comparator<SlotLease> BY_EXPIRY =
      Comparator.comparing(SlotLease::expiresAt).thenComparing(SlotLease::key);

  private final Map<AttemptKey, SlotLease> leases = new HashMap<>();
  private final TreeSet<SlotLease> byExpiry = new TreeSet<>(BY_EXPIRY);
  private final Deque<SlotLease> runningWithinLimit = new ArrayDeque<>();
  private final Set<AttemptKey> longKeys = new HashSet<>();
  private final Multiset<EndpointId> held = HashMultiset.create();
  private final Multiset<EndpointId> heldByLongWork = HashMultiset.create();

  /**
   * Adds a lease. Replaces an earlier lease of the same attempt.
   *
   * @param lease the lease to add
   * @param isLong whether the work is expected to be long and counts as long from the start
   */
  public void hold(SlotLease lease, boolean isLong) {
    end(lease.key());
    leases.put(lease.key(), lease);
    byExpiry.add(lease);
    held.add(lease.endpoint());
    runningWithinLimit.addLast(lease);
    if (isLong) {
      countAsLong(lease);
    }
  }

  /**
   * Ends a lease and frees its slot.
   *
   * @param key the attempt that holds the slot
   * @return the lease that ended; empty if there was none
   */
  public Optional<SlotLease> end(AttemptKey key) {
    SlotLease lease = leases.remove(key);
    if (lease == null) {
      return Optional.empty();
    }
    byExpiry.remove(lease);
    held.remove(lease.endpoint());
    if (longKeys.remove(key)) {
      heldByLongWork.remove(lease.endpoint());
    }
    return Optional.of(lease);
  }

  /**
   * Makes a lease expire earlier. Does nothing if it already does so or is no longer held.
   *
   * @param lease the lease
   * @param expiresAt the new expiry
   */
  public void shorten(SlotLease lease, Instant expiresAt) {
    if (!isStillHeld(lease) || !expiresAt.isBefore(lease.expiresAt())) {
      return;
    }
    SlotLease shorter = lease.expiringAt(expiresAt);
    byExpiry.remove(lease);
    byExpiry.add(shorter);
    leases.put(lease.key(), shorter);
  }

  /**
   * Ends all leases that match a condition and frees their slots.
   *
   * @param condition true for leases to end
   * @return the leases that ended
   */
  public ImmutableList<SlotLease> endWhere(Predicate<SlotLease> condition) {
    ImmutableList<SlotLease> ending =
        leases.values().stream().filter(condition).collect(ImmutableList.toImmutableList());
    ending.forEach(lease -> end(lease.key()));
    return ending;
  }

  /**
   * Ends the leases that have expired and frees their slots.
   *
   * @param now the current time
   * @return the leases that expired
   */
  public ImmutableList<SlotLease> expire(Instant now) {
    ImmutableList.Builder<SlotLease> expired = ImmutableList.builder();
    while (!byExpiry.isEmpty() && !byExpiry.first().expiresAt().isAfter(now)) {
      end(byExpiry.first().key()).ifPresent(expired::add);
    }
    return expired.build();
  }

  /**
   * Counts work that has run past the limit for short work as long.
   *
   * @param now the current time
   * @param shortWorkLimit how long short work may run
   * @return the leases that passed the limit since the last call
   */
  public ImmutableList<SlotLease> countOverrunsAsLong(Instant now, Duration shortWorkLimit) {
    ImmutableList.Builder<SlotLease> overruns = ImmutableList.builder();
    Instant overrunIfGrantedBefore = now.minus(shortWorkLimit);
    while (!runningWithinLimit.isEmpty()
        && runningWithinLimit.getFirst().grantedAt().isBefore(overrunIfGrantedBefore)) {
      SlotLease lease = runningWithinLimit.removeFirst();
      if (isStillHeld(lease)) {
        countAsLong(lease);
        overruns.add(lease);
      }
    }
    return overruns.build();
  }

  /**
   * Returns the lease of an attempt; empty if it holds no slot.
   *
   * @param key the attempt
   */
  public Optional<SlotLease> find(AttemptKey key) {
    return Optional.ofNullable(leases.get(key));
  }

  /**
   * Returns how many slots of an endpoint are held.
   *
   * @param endpoint the endpoint
   */
  public int held(EndpointId endpoint) {
    return held.count(endpoint);
  }

  /**
   * Returns how many slots of an endpoint long work holds.
   *
   * @param endpoint the endpoint
   */
  public int heldByLongWork(EndpointId endpoint) {
    return heldByLongWork.count(endpoint);
  }

  /** Returns how many slots are held at all endpoints together. */
  public int totalHeld() {
    return leases.size();
  }

  /** Returns how many slots long work holds at all endpoints together. */
  public int totalHeldByLongWork() {
    return heldByLongWork.size();
  }

  /** Returns all leases. */
  public ImmutableList<SlotLease> leases() {
    return ImmutableList.copyOf(leases.values());
  }

  private boolean isStillHeld(SlotLease lease) {
    SlotLease current = leases.get(lease.key());
    return current != null && current.grantedAt().equals(lease.grantedAt());
  }

  private void countAsLong(SlotLease lease) {
    if (longKeys.add(lease.key())) {
      heldByLongWork.add(lease.endpoint());
    }
  }
}
