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
 * <p>Each process of an entry has a copy of its own. So an entry that restarts with nothing does
 * not wipe out what its earlier process vouched for: that copy lives on until its own time is over,
 * and the endpoints find a new home meanwhile.
 */
final class PeerSections {
  /** Copies are kept this long after their last sign of life, to compare after a partition. */
  private static final Duration MEMORY = Duration.ofMinutes(1);

  /** The most copies kept; a process that restarts again and again must not fill the memory. */
  private static final int MAXIMUM_SECTIONS = 256;

  private final Duration vouch;
  private final Map<Key, PeerSection> sections = new LinkedHashMap<>();

  PeerSections(Duration vouch) {
    this.vouch = vouch;
  }

  private record Key(ProcessId entry, long incarnation) {}

  /** Returns the copy for one process of an entry; an empty one if it was never heard of. */
  PeerSection of(ProcessId entry, long incarnation) {
    if (sections.size() >= MAXIMUM_SECTIONS) {
      sections.remove(sections.keySet().iterator().next());
    }
    return sections.computeIfAbsent(new Key(entry, incarnation), unknown -> new PeerSection());
  }

  /** Returns all copies that may be trusted now. */
  ImmutableList<PeerSection> trusted(Instant now) {
    return sections.values().stream()
        .filter(section -> now.isBefore(section.vouchedAt().plus(vouch)))
        .collect(toImmutableList());
  }

  /** Returns the entries that gave a sign of life in time and do not stop. */
  ImmutableSet<ProcessId> live(Instant now) {
    return responsive(now, vouch);
  }

  /** Returns the entries that gave a sign of life within a time and do not stop. */
  ImmutableSet<ProcessId> responsive(Instant now, Duration within) {
    return entriesWhere(
        section -> !section.isStopping() && now.isBefore(section.aliveAt().plus(within)));
  }

  /** Returns when the next copy or entry stops being trusted if nothing more is heard. */
  Optional<Instant> earliestEnd(Instant now) {
    return sections.values().stream()
        .flatMap(section -> ImmutableList.of(section.vouchedAt(), section.aliveAt()).stream())
        .map(heard -> heard.plus(vouch))
        .filter(end -> end.isAfter(now))
        .min(Instant::compareTo);
  }

  /** Forgets copies that nothing was heard of for long. */
  void expire(Instant now) {
    sections.values().removeIf(section -> !now.isBefore(section.aliveAt().plus(MEMORY)));
  }

  /** Returns the copies for a person. */
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
        ageOf(section.vouchedAt(), now),
        ageOf(section.aliveAt(), now),
        section.isStopping());
  }

  private static Optional<Long> ageOf(Instant heard, Instant now) {
    return heard.equals(Instant.MIN)
        ? Optional.empty()
        : Optional.of(Duration.between(heard, now).toMillis());
  }

  private ImmutableSet<ProcessId> entriesWhere(Predicate<PeerSection> condition) {
    return sections.entrySet().stream()
        .filter(section -> condition.test(section.getValue()))
        .map(section -> section.getKey().entry())
        .collect(toImmutableSet());
  }
}
