package org.verbenawheel.placement;

import com.google.common.collect.Iterables;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.verbenawheel.identity.JobId;
import org.verbenawheel.identity.TeamName;
import org.verbenawheel.platform.Resources;

/**
 * Holds waiting jobs in groups of the same urgency, team and demand. If one job of a group does not
 * fit, none does, so a search checks one job of each group. The cost of adding or removing a job
 * does not grow with the number of waiting jobs.
 */
final class JobQueue {
  /** The properties that all jobs of a group share. */
  record Group(Urgency urgency, TeamName team, Resources demand) {}

  private static final Comparator<Group> ORDER =
      Comparator.comparing(Group::urgency)
          .thenComparing(Group::team)
          .thenComparing(group -> group.demand().processors())
          .thenComparing(group -> group.demand().memoryMebibytes())
          .thenComparing(group -> group.demand().accelerators());

  /** A waiting job with its number in the order of arrival. */
  private record Entry(long arrival, PlacementJob job) {}

  private final TreeMap<Group, LinkedHashMap<JobId, Entry>> groups = new TreeMap<>(ORDER);
  private final Map<JobId, Group> groupOfJob = new HashMap<>();
  private long nextArrival;

  void add(PlacementJob job, Resources demand) {
    Group group = new Group(job.urgency(), job.team(), demand);
    groups
        .computeIfAbsent(group, unused -> new LinkedHashMap<>())
        .put(job.id(), new Entry(nextArrival++, job));
    groupOfJob.put(job.id(), group);
  }

  boolean contains(JobId id) {
    return groupOfJob.containsKey(id);
  }

  /** Removes a job and returns whether it was waiting. */
  boolean remove(JobId id) {
    Group group = groupOfJob.remove(id);
    if (group == null) {
      return false;
    }
    LinkedHashMap<JobId, Entry> jobs = groups.get(group);
    if (jobs != null) {
      jobs.remove(id);
      if (jobs.isEmpty()) {
        groups.remove(group);
      }
    }
    return true;
  }

  /**
   * Returns the job that has waited longest, among the most urgent jobs whose group satisfies the
   * predicate.
   */
  Optional<PlacementJob> findFirst(Predicate<Group> predicate) {
    Entry best = null;
    Urgency bestUrgency = Urgency.INTERRUPTIBLE;
    for (Map.Entry<Group, LinkedHashMap<JobId, Entry>> group : groups.entrySet()) {
      Urgency urgency = group.getKey().urgency();
      if (best != null && urgency != bestUrgency) {
        break;
      }
      Entry oldest = Iterables.getFirst(group.getValue().values(), null);
      boolean isOlder = best == null || (oldest != null && oldest.arrival() < best.arrival());
      if (oldest != null && isOlder && predicate.test(group.getKey())) {
        best = oldest;
        bestUrgency = urgency;
      }
    }
    return Optional.ofNullable(best).map(Entry::job);
  }

  /** Returns the demand that a waiting job was added with. */
  Resources demandOf(PlacementJob job) {
    Group group = groupOfJob.get(job.id());
    return group == null ? job.declared() : group.demand();
  }

  int size() {
    return groupOfJob.size();
  }
}
