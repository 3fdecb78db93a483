package org.verbenawheel.placement;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Maps;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.verbenawheel.identity.HostName;
import org.verbenawheel.identity.JobId;
import org.verbenawheel.platform.Resources;

/**
 * Tracks the free resources of each worker of a pool. Workers with accelerators are searched last,
 * to keep them free for jobs that need accelerators. A worker that is quarantined, cordoned or
 * reserved offers nothing to new jobs.
 */
final class Workers {
  private final ImmutableList<HostName> names;
  private final ImmutableMap<HostName, Integer> positions;
  private final ImmutableSet<Resources> offeredSizes;
  private final Map<HostName, Resources> unallocated;
  private final FreeResourceTree tree;
  private final Quarantine quarantine;
  private final Set<HostName> cordoned = new HashSet<>();
  private final Set<HostName> reserved = new HashSet<>();

  Workers(ImmutableMap<HostName, Resources> offered) {
    this.names =
        offered.entrySet().stream()
            .sorted(
                Comparator.comparing(
                        (Map.Entry<HostName, Resources> entry) -> entry.getValue().accelerators())
                    .thenComparing(Map.Entry::getKey))
            .map(Map.Entry::getKey)
            .collect(ImmutableList.toImmutableList());
    this.positions =
        Maps.uniqueIndex(IntStream.range(0, names.size()).boxed().toList(), names::get);
    this.offeredSizes = ImmutableSet.copyOf(offered.values());
    this.unallocated = new HashMap<>(offered);
    this.tree = new FreeResourceTree(names.size());
    this.quarantine = new Quarantine(names.size());
    names.forEach(this::updateTree);
  }

  ImmutableList<HostName> names() {
    return names;
  }

  boolean fitsAnyEmptyWorker(Resources demand) {
    return offeredSizes.stream().anyMatch(size -> size.holds(demand));
  }

  Optional<HostName> firstWithFree(Resources demand) {
    int position = tree.firstWithFree(demand);
    return position < 0 ? Optional.empty() : Optional.of(names.get(position));
  }

  /** Returns the resources that a new job may get on a worker; none if it accepts no jobs. */
  Resources free(HostName worker) {
    return acceptsJobs(worker) ? unallocated(worker) : Resources.NONE;
  }

  boolean acceptsJobs(HostName worker) {
    return !quarantine.isQuarantined(worker)
        && !cordoned.contains(worker)
        && !reserved.contains(worker);
  }

  void cordon(HostName worker) {
    cordoned.add(worker);
    updateTree(worker);
  }

  void uncordon(HostName worker) {
    cordoned.remove(worker);
    updateTree(worker);
  }

  /** Keeps new jobs off a worker until {@link #endReservation}, so its free resources add up. */
  void reserve(HostName worker) {
    reserved.add(worker);
    updateTree(worker);
  }

  void endReservation(HostName worker) {
    reserved.remove(worker);
    updateTree(worker);
  }

  void grant(HostName worker, Resources granted) {
    unallocated.put(worker, unallocated(worker).minus(granted));
    updateTree(worker);
  }

  void release(HostName worker, Resources granted) {
    unallocated.put(worker, unallocated(worker).plus(granted));
    updateTree(worker);
  }

  void recordSuccess(HostName worker) {
    quarantine.recordSuccess(worker);
  }

  /** Records a failed job and returns whether it put the worker in quarantine. */
  boolean recordFailure(HostName worker, JobId job, Instant now) {
    boolean quarantined = quarantine.recordFailure(worker, job, now);
    updateTree(worker);
    return quarantined;
  }

  Set<HostName> releaseFromQuarantine(Instant now) {
    Set<HostName> released = quarantine.release(now);
    released.forEach(this::updateTree);
    return released;
  }

  /** Returns the resources not granted to jobs, whether or not the worker accepts new ones. */
  private Resources unallocated(HostName worker) {
    return unallocated.getOrDefault(worker, Resources.NONE);
  }

  private void updateTree(HostName worker) {
    Integer position = positions.get(worker);
    if (position != null) {
      tree.set(position, free(worker));
    }
  }
}
