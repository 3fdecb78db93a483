package org.verbenawheel.dispatch;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.verbenawheel.identity.ProcessId;

/**
 * Knows which live entries a dispatcher still waits for before it may grant.
 *
 * <p>A dispatcher that granted before it knows what the entries hold would overfill endpoints; one
 * that waited for an entry for ever would serve nobody. So it waits for each live entry to
 * register, for a bounded time.
 */
final class Takeover {
  /** How long a dispatcher waits for an entry that is live in its view to register. */
  static final Duration LONGEST_WAIT = Duration.ofSeconds(2);

  private final Map<ProcessId, Instant> awaitedUntil = new HashMap<>();
  private final Map<ProcessId, Long> registered = new HashMap<>();
  private ImmutableSet<ProcessId> live = ImmutableSet.of();

  /**
   * Takes the live entries.
   *
   * @return the entries that are no longer live
   */
  ImmutableSet<ProcessId> changeLive(ImmutableSet<ProcessId> newLive, Instant now) {
    Set<ProcessId> gone = new HashSet<>(live);
    gone.removeAll(newLive);
    gone.forEach(registered::remove);
    awaitedUntil.keySet().retainAll(newLive);
    newLive.stream()
        .filter(entry -> !registered.containsKey(entry))
        .forEach(entry -> awaitedUntil.putIfAbsent(entry, now.plus(LONGEST_WAIT)));
    live = newLive;
    return ImmutableSet.copyOf(gone);
  }

  /** Takes the registration of an entry. */
  void onRegistered(ProcessId entry, long incarnation) {
    registered.put(entry, incarnation);
    awaitedUntil.remove(entry);
  }

  /** Returns whether every live entry has registered or was waited for long enough. */
  boolean mayGrant(Instant now) {
    return awaitedUntil.values().stream().noneMatch(until -> now.isBefore(until));
  }

  /** Returns the live entries that have not registered. */
  ImmutableSet<ProcessId> unregistered() {
    return live.stream()
        .filter(entry -> !registered.containsKey(entry))
        .collect(ImmutableSet.toImmutableSet());
  }

  /** Returns whether a process start of an entry is registered, so that it speaks for itself. */
  boolean speaksForItself(ProcessId entry, long incarnation) {
    Long known = registered.get(entry);
    return known != null && known == incarnation;
  }
}
