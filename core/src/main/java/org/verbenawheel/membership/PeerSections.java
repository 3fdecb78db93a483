package org.verbenawheel.membership;

import static com.google.common.collect.ImmutableList.toImmutableList;
import static com.google.common.collect.ImmutableSet.toImmutableSet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.verbenawheel.identity.ProcessId;

/**
 * This entry's copies of the other entries' endpoints.
 *
 * <p>There is a separate copy for each process of an entry. An entry that restarts with empty state
 * therefore does not discard the endpoints that its earlier process confirmed: that copy stays
 * trusted until its own timeout, and the endpoints move to a new home entry meanwhile.
 */
final class PeerSections {
  /** Copies are kept this long after the last echo, to compare digests after a partition. */
  private static final Duration RETENTION = Duration.ofMinutes(1);

  /** The maximum number of copies; bounds memory if a process restarts again and again. */
  private static final int MAXIMUM_SECTIONS = 256;

  private final Duration trustTimeout;
  private final Map<Key, PeerSection> sections = new LinkedHashMap<>();

  PeerSections(Duration trustTimeout) {
    this.trustTimeout = trustTimeout;
  }

  private record Key(ProcessId entry, long incarnation) {}

  /** Returns the copy for one process of an entry; creates an empty one if there is none. */
  PeerSection getOrCreate(ProcessId entry, long incarnation) {
    Key key = new Key(entry, incarnation);
    if (!sections.containsKey(key) && sections.size() >= MAXIMUM_SECTIONS) {
      sections.remove(sections.keySet().iterator().next());
    }
    return sections.computeIfAbsent(key, unknown -> new PeerSection());
  }

  /** Returns the copies that their home entry confirmed within the trust timeout. */
  ImmutableList<PeerSection> trusted(Instant now) {
    return sections.values().stream()
        .filter(section -> now.isBefore(section.confirmedAt().plus(trustTimeout)))
        .collect(toImmutableList());
  }

  /** Returns the entries that echoed a stamp within the trust timeout and are not stopping. */
  ImmutableSet<ProcessId> live(Instant now) {
    return responsive(now, trustTimeout);
  }

  /** Returns the entries that echoed a stamp sent within a duration and are not stopping. */
  ImmutableSet<ProcessId> responsive(Instant now, Duration within) {
    return entriesWhere(
        section -> !section.isStopping() && now.isBefore(section.aliveAt().plus(within)));
  }

  /** Returns when trust in the next copy or entry expires if nothing more is received. */
  Optional<Instant> earliestEnd(Instant now) {
    return sections.values().stream()
        .flatMap(section -> ImmutableList.of(section.confirmedAt(), section.aliveAt()).stream())
        .map(since -> since.plus(trustTimeout))
        .filter(end -> end.isAfter(now))
        .min(Instant::compareTo);
  }

  /** Removes copies of processes that have not echoed a stamp within the retention. */
  void expire(Instant now) {
    sections.values().removeIf(section -> !now.isBefore(section.aliveAt().plus(RETENTION)));
  }

  /** Returns the copies for the diagnostic dump. */
  ImmutableList<MembershipDump.Section> dump(Instant now) {
    return sections.entrySet().stream()
        .map(section -> dump(section.getKey(), section.getValue(), now))
        .collect(toImmutableList());
  }

  private static MembershipDump.Section dump(Key key, PeerSection section, Instant now) {
    return new MembershipDump.Section(
        key.entry().value(),
        key.incarnation(),
        section.version(),
        section.contents().size(),
        ageOf(section.confirmedAt(), now),
        ageOf(section.aliveAt(), now),
        section.isStopping());
  }

  private static Optional<Long> ageOf(Instant instant, Instant now) {
    return instant.equals(Instant.MIN)
        ? Optional.empty()
        : Optional.of(Duration.between(instant, now).toMillis());
  }

  private ImmutableSet<ProcessId> entriesWhere(Predicate<PeerSection> condition) {
    return sections.entrySet().stream()
        .filter(section -> condition.test(section.getValue()))
        .map(section -> section.getKey().entry())
        .collect(toImmutableSet());
  }
}
