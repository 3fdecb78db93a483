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
 * Counts the slots that are held at each endpoint, and which of them by long work.
 *
 * <p>A slot stays held until its lease is ended or expires: an attempt that timed out or whose
 * caller hung up still runs at the endpoint. Not safe for use by many threads.
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
   * Holds a slot. Replaces a lease of the same attempt.
   *
   * @param lease the slot and who holds it
   * @param isLong whether the work is known to be long from the start
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
   * Frees a slot.
   *
   * @param key the attempt that held it
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
   * Makes a lease expire sooner; one that expires sooner already is left.
   *
   * @param lease the lease
   * @param expiresAt when the slot counts as free though nobody said so
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
   * Frees every slot whose lease matches.
   *
   * @param condition which leases end
   * @return the leases that ended
   */
  public ImmutableList<SlotLease> endWhere(Predicate<SlotLease> condition) {
    ImmutableList<SlotLease> ending =
        leases.values().stream().filter(condition).collect(ImmutableList.toImmutableList());
    ending.forEach(lease -> end(lease.key()));
    return ending;
  }

  /**
   * Frees the slots whose lease has expired.
   *
   * @param now the present moment
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
   * Counts as long the work that has run past the limit.
   *
   * @param now the present moment
   * @param shortWorkLimit how long short work may run
   * @return the leases that have run past the limit since the last call
   */
  public ImmutableList<SlotLease> countOverrunsAsLong(Instant now, Duration shortWorkLimit) {
    ImmutableList.Builder<SlotLease> overruns = ImmutableList.builder();
    Instant newestOverrun = now.minus(shortWorkLimit);
    while (!runningWithinLimit.isEmpty()
        && runningWithinLimit.getFirst().grantedAt().isBefore(newestOverrun)) {
      SlotLease lease = runningWithinLimit.removeFirst();
      if (isStillHeld(lease)) {
        countAsLong(lease);
        overruns.add(lease);
      }
    }
    return overruns.build();
  }

  /**
   * Returns the lease of an attempt.
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
    SlotLease present = leases.get(lease.key());
    return present != null && present.grantedAt().equals(lease.grantedAt());
  }

  private void countAsLong(SlotLease lease) {
    if (longKeys.add(lease.key())) {
      heldByLongWork.add(lease.endpoint());
    }
  }
}
