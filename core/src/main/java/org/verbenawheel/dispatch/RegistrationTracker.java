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
 * Tracks which live entries have registered with a new dispatcher, and whether it may grant yet.
 *
 * <p>A dispatcher that granted before it knew which slots the entries hold would overload
 * endpoints; one that waited for an entry without limit would never grant. So it waits for each
 * live entry to register, up to {@link #REGISTRATION_TIMEOUT}.
 */
final class RegistrationTracker {
  /** How long a dispatcher waits for a live entry to register before it grants without it. */
  static final Duration REGISTRATION_TIMEOUT = Duration.ofSeconds(2);

  private final Map<ProcessId, Instant> registrationDeadlines = new HashMap<>();
  private final Map<ProcessId, Long> registered = new HashMap<>();
  private ImmutableSet<ProcessId> live = ImmutableSet.of();

  /**
   * Updates the live entries of the membership view.
   *
   * @return the entries that are no longer live
   */
  ImmutableSet<ProcessId> updateLiveEntries(ImmutableSet<ProcessId> newLive, Instant now) {
    Set<ProcessId> lost = new HashSet<>(live);
    lost.removeAll(newLive);
    lost.forEach(registered::remove);
    registrationDeadlines.keySet().retainAll(newLive);
    newLive.stream()
        .filter(entry -> !registered.containsKey(entry))
        .forEach(entry -> registrationDeadlines.putIfAbsent(entry, now.plus(REGISTRATION_TIMEOUT)));
    live = newLive;
    return ImmutableSet.copyOf(lost);
  }

  /** Records the registration of an entry's process with the given incarnation. */
  void onRegistered(ProcessId entry, long incarnation) {
    registered.put(entry, incarnation);
    registrationDeadlines.remove(entry);
  }

  /** Returns whether every live entry has registered or its registration timed out. */
  boolean mayGrant(Instant now) {
    return registrationDeadlines.values().stream().noneMatch(deadline -> now.isBefore(deadline));
  }

  /** Returns the live entries that have not registered. */
  ImmutableSet<ProcessId> unregistered() {
    return live.stream()
        .filter(entry -> !registered.containsKey(entry))
        .collect(ImmutableSet.toImmutableSet());
  }

  /**
   * Returns whether this incarnation of an entry is registered. Its own report of held slots then
   * takes precedence over copies.
   */
  boolean isRegistered(ProcessId entry, long incarnation) {
    Long registeredIncarnation = registered.get(entry);
    return registeredIncarnation != null && registeredIncarnation == incarnation;
  }
}
