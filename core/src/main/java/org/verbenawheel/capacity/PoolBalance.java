package org.verbenawheel.capacity;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMultiset;
import com.google.common.collect.Multiset;
import java.time.Instant;
import org.verbenawheel.configuration.PoolSettings;
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
 * @param forWave how many hosts more a maintenance wave wants, to find room
 * @param reserve how many hosts more it should have against the loss of an availability zone
 * @param places how many hosts more its settings let it hold
 */
record PoolBalance(
    PoolNeed need,
    ImmutableList<HostRecord> atWork,
    int incoming,
    int forWave,
    int reserve,
    int places) {

  /**
   * Weighs a pool. It wants a host for a wave that would find no room otherwise, and a reserve
   * while what is left of the budget would not last until spares have reacted to a lost zone. It
   * holds the reserve only for a time after a host was lost: losses come together, and at other
   * times the budget of a whole window is not worth spares that are on all through it.
   */
  static PoolBalance of(
      PoolNeed need,
      PoolView view,
      boolean maintenanceIsDue,
      CapacitySettings settings,
      Instant now) {
    ImmutableList<HostRecord> hosts = view.hostsOf(need.pool());
    ImmutableList<HostRecord> atWork =
        hosts.stream()
            .filter(host -> host.takesWork() && host.activity().isEmpty())
            .collect(ImmutableList.toImmutableList());
    int incoming =
        (int) view.hosts().values().stream().filter(host -> isMovingTo(host, need.pool())).count();
    boolean waveWaits = maintenanceIsDue && need.budgetLeft() > 0 && !isWaveInProgress(hosts);
    boolean lossIsRecent = hosts.stream().anyMatch(host -> wasLostLately(host, settings, now));
    int reserve = lossIsRecent ? reserve(need, atWork, settings) : 0;
    int places = maximumHosts(need.pool(), view) - hosts.size() - incoming;
    return new PoolBalance(need, atWork, incoming, waveWaits ? 1 : 0, reserve, Math.max(0, places));
  }

  PoolName pool() {
    return need.pool();
  }

  /** Returns how many hosts it has and will have beyond its services' need; may be negative. */
  int beyondNeed() {
    return atWork.size() + incoming - need.hosts();
  }

  /** Returns how many hosts it has beyond everything it wants; negative if it wants more. */
  int beyondTarget() {
    return beyondNeed() - forWave - reserve;
  }

  /** Returns how many hosts it wants and may hold. */
  int wanted() {
    return Math.min(places, Math.max(0, -beyondTarget()));
  }

  private static int maximumHosts(PoolName pool, PoolView view) {
    PoolSettings settings = view.pools().get(pool);
    return settings == null ? 0 : settings.maximumHosts();
  }

  private static boolean wasLostLately(HostRecord host, CapacitySettings settings, Instant now) {
    return host.lostAt().filter(at -> at.plus(settings.watchTime()).isAfter(now)).isPresent();
  }

  /** Does not look at hosts held in reserve already, or it would send them back and ask again. */
  private static int reserve(
      PoolNeed need, ImmutableList<HostRecord> atWork, CapacitySettings settings) {
    int largestZone = hostsInLargestZone(atWork);
    double shortfall = Math.min(1, largestZone / (double) need.hosts());
    double cost =
        shortfall * settings.reactionTime().toSeconds() / DemandLearner.BUDGET_WINDOW.toSeconds();
    return cost > need.budgetLeft() ? largestZone : 0;
  }

  private static boolean isWaveInProgress(ImmutableList<HostRecord> hosts) {
    return hosts.stream()
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

  private static boolean isMovingTo(HostRecord host, PoolName pool) {
    return host.condition() == HostCondition.IN_SERVICE
        && host.activity().flatMap(Activity::target).filter(pool::equals).isPresent();
  }

  @Override
  public String toString() {
    return String.format(
        "%s has %d hosts at work and %d incoming; needs %d, %d for a wave, %d in reserve; may hold"
            + " %d more",
        need.pool(), atWork.size(), incoming, need.hosts(), forWave, reserve, places);
  }
}
