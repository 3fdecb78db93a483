package org.verbenawheel.capacity;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMultiset;
import com.google.common.collect.Multiset;
import org.verbenawheel.identity.AvailabilityZone;
import org.verbenawheel.identity.PoolName;
import org.verbenawheel.pool.Activity;
import org.verbenawheel.pool.ActivityKind;
import org.verbenawheel.pool.HostCondition;
import org.verbenawheel.pool.HostRecord;
import org.verbenawheel.pool.PoolView;

/**
 * Says what a serving pool has and what it should have.
 *
 * @param need what its services need
 * @param atWork the hosts in it that take work
 * @param incoming how many hosts are on their way to it
 * @param target how many hosts should work in it
 */
record PoolBalance(PoolNeed need, ImmutableList<HostRecord> atWork, int incoming, int target) {

  /**
   * Weighs a pool. The target is its need, one host more while a maintenance wave would otherwise
   * find no room, and a reserve for the loss of an availability zone while what is left of the
   * budget would not last until spares have reacted to it.
   */
  static PoolBalance of(
      PoolNeed need, PoolView view, boolean maintenanceIsDue, CapacitySettings settings) {
    ImmutableList<HostRecord> atWork =
        view.hostsOf(need.pool()).stream()
            .filter(host -> host.takesWork() && !isLeaving(host))
            .collect(ImmutableList.toImmutableList());
    int incoming =
        (int) view.hosts().values().stream().filter(host -> isMovingTo(host, need.pool())).count();
    int forWave = maintenanceIsDue && !isWaveInProgress(need.pool(), view) ? 1 : 0;
    int target = need.hosts() + forWave + reserve(need, atWork, incoming, settings);
    return new PoolBalance(need, atWork, incoming, target);
  }

  /** Returns how many hosts are missing; negative if there are more than the target. */
  int missing() {
    return target - atWork.size() - incoming;
  }

  private static int reserve(
      PoolNeed need, ImmutableList<HostRecord> atWork, int incoming, CapacitySettings settings) {
    int largestZone = hostsInLargestZone(atWork);
    int missingAfterLoss = need.hosts() - (atWork.size() + incoming - largestZone);
    if (missingAfterLoss <= 0) {
      return 0;
    }
    double shortfall = Math.min(1, missingAfterLoss / (double) need.hosts());
    double cost =
        shortfall * settings.reactionTime().toSeconds() / DemandLearner.BUDGET_WINDOW.toSeconds();
    return cost > need.budgetLeft() ? largestZone : 0;
  }

  private static boolean isWaveInProgress(PoolName pool, PoolView view) {
    return view.hostsOf(pool).stream()
        .flatMap(host -> host.activity().stream())
        .anyMatch(activity -> activity.kind() == ActivityKind.MAINTAIN);
  }

  private static int hostsInLargestZone(ImmutableList<HostRecord> hosts) {
    ImmutableMultiset<AvailabilityZone> zones =
        hosts.stream()
            .map(host -> host.location().availabilityZone())
            .collect(ImmutableMultiset.toImmutableMultiset());
    return zones.entrySet().stream().mapToInt(Multiset.Entry::getCount).max().orElse(0);
  }

  private static boolean isLeaving(HostRecord host) {
    return host.activity().filter(activity -> activity.kind() != ActivityKind.POWER_ON).isPresent();
  }

  private static boolean isMovingTo(HostRecord host, PoolName pool) {
    return host.condition() == HostCondition.IN_SERVICE
        && host.activity().flatMap(Activity::target).filter(pool::equals).isPresent();
  }

  @Override
  public String toString() {
    return String.format(
        "%s: %d of %d at work, %d incoming", need.pool(), atWork.size(), target, incoming);
  }
}
