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
 * Holds waiting jobs in groups of the same urgency, team and demand: when one job of a group does
 * not fit, none does, so a search looks at one job of each. Adding and removing cost the same
 * however many jobs wait.
 */
final class JobQueue {
  /** What the jobs of a group share. */
  record Group(Urgency urgency, TeamName team, Resources demand) {}

  private static final Comparator<Group> ORDER =
      Comparator.comparing(Group::urgency)
          .thenComparing(Group::team)
          .thenComparing(group -> group.demand().processors())
          .thenComparing(group -> group.demand().memoryMebibytes())
          .thenComparing(group -> group.demand().accelerators());

  /** A waiting job with its place in the order of arrival. */
  private record Entry(long arrival, Job job) {}

  private final TreeMap<Group, LinkedHashMap<JobId, Entry>> groups = new TreeMap<>(ORDER);
  private final Map<JobId, Group> groupOfJob = new HashMap<>();
  private long arrivals;

  void add(Job job, Resources demand) {
    Group group = new Group(job.urgency(), job.team(), demand);
    groups
        .computeIfAbsent(group, unused -> new LinkedHashMap<>())
        .put(job.id(), new Entry(arrivals++, job));
    groupOfJob.put(job.id(), group);
  }

  boolean contains(JobId id) {
    return groupOfJob.containsKey(id);
  }

  /** Removes a job; returns whether it waited. */
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

  /** Returns the job that waits longest among the most urgent ones whose group is accepted. */
  Optional<Job> first(Predicate<Group> accepted) {
    Entry best = null;
    Urgency bestUrgency = Urgency.INTERRUPTIBLE;
    for (Map.Entry<Group, LinkedHashMap<JobId, Entry>> group : groups.entrySet()) {
      Urgency urgency = group.getKey().urgency();
      if (best != null && urgency != bestUrgency) {
        break;
      }
      Entry oldest = Iterables.getFirst(group.getValue().values(), null);
      boolean isOlder = best == null || (oldest != null && oldest.arrival() < best.arrival());
      if (oldest != null && isOlder && accepted.test(group.getKey())) {
        best = oldest;
        bestUrgency = urgency;
      }
    }
    return Optional.ofNullable(best).map(Entry::job);
  }

  Resources demand(Job job) {
    Group group = groupOfJob.get(job.id());
    return group == null ? job.declared() : group.demand();
  }

  int size() {
    return groupOfJob.size();
  }
}
