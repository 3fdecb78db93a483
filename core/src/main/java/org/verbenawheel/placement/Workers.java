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
 * Holds what each worker of a pool has free. Workers with accelerators come last, so that jobs
 * without them leave those free. A worker in quarantine, or away, has nothing free.
 */
final class Workers {
  private final ImmutableList<HostName> names;
  private final ImmutableMap<HostName, Integer> positions;
  private final ImmutableSet<Resources> sizes;
  private final Map<HostName, Resources> free;
  private final FreeResourceTree tree;
  private final Quarantine quarantine;
  private final Set<HostName> away = new HashSet<>();
  private final Set<HostName> held = new HashSet<>();

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
    this.sizes = ImmutableSet.copyOf(offered.values());
    this.free = new HashMap<>(offered);
    this.tree = new FreeResourceTree(names.size());
    this.quarantine = new Quarantine(names.size());
    names.forEach(this::show);
  }

  ImmutableList<HostName> names() {
    return names;
  }

  boolean couldEverHold(Resources demand) {
    return sizes.stream().anyMatch(size -> size.holds(demand));
  }

  Optional<HostName> firstThatHolds(Resources demand) {
    int position = tree.firstThatHolds(demand);
    return position < 0 ? Optional.empty() : Optional.of(names.get(position));
  }

  /** Returns what a worker may give to a new job: nothing in quarantine or away. */
  Resources free(HostName worker) {
    return takesJobs(worker) ? unused(worker) : Resources.NONE;
  }

  boolean takesJobs(HostName worker) {
    return !quarantine.isKeptOut(worker) && !away.contains(worker) && !held.contains(worker);
  }

  void leave(HostName worker) {
    away.add(worker);
    show(worker);
  }

  void comeBack(HostName worker) {
    away.remove(worker);
    show(worker);
  }

  /** Keeps what becomes free on the worker together until {@link #letGo}. */
  void hold(HostName worker) {
    held.add(worker);
    show(worker);
  }

  void letGo(HostName worker) {
    held.remove(worker);
    show(worker);
  }

  void grant(HostName worker, Resources granted) {
    free.put(worker, unused(worker).minus(granted));
    show(worker);
  }

  void giveBack(HostName worker, Resources granted) {
    free.put(worker, unused(worker).plus(granted));
    show(worker);
  }

  void succeeded(HostName worker) {
    quarantine.succeeded(worker);
  }

  /** Returns whether the worker is in quarantine from now on. */
  boolean failed(HostName worker, JobId job, Instant now) {
    boolean keptOut = quarantine.failed(worker, job, now);
    show(worker);
    return keptOut;
  }

  Set<HostName> releaseFromQuarantine(Instant now) {
    Set<HostName> released = quarantine.release(now);
    released.forEach(this::show);
    return released;
  }

  private Resources unused(HostName worker) {
    return free.getOrDefault(worker, Resources.NONE);
  }

  private void show(HostName worker) {
    Integer position = positions.get(worker);
    if (position != null) {
      tree.set(position, free(worker));
    }
  }
}
