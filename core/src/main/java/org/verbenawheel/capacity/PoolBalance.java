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
 * Compares the hosts of a serving pool with the hosts that it should have.
 *
 * @param need what the services of the pool need
 * @param available the hosts of the pool that take work and have no activity
 * @param incoming the number of hosts that are being moved to the pool
 * @param forWave 1 if the pool wants a host for its next maintenance wave, otherwise 0
 * @param reserve the number of additional hosts wanted against the loss of an availability zone
 * @param headroom how many more hosts the pool may hold, after those incoming; at least 0
 */
record PoolBalance(
    PoolNeed need,
    ImmutableList<HostRecord> available,
    int incoming,
    int forWave,
    int reserve,
    int headroom) {

  /**
   * Computes the balance of a pool. The pool wants one more host while maintenance is due, budget
   * is left and none of its hosts is being maintained: without it a wave may be unable to start. It
   * wants a reserve while the remaining budget would not last until spares replace a lost zone, but
   * only for a time after it lost a host: losses are correlated, and at other times the budget of a
   * window does not justify keeping spares powered throughout it.
   */
  static PoolBalance of(
      PoolNeed need,
      PoolView view,
      boolean maintenanceIsDue,
      CapacitySettings settings,
      Instant now) {
    ImmutableList<HostRecord> hosts = view.hostsOf(need.pool());
    ImmutableList<HostRecord> available =
        hosts.stream()
            .filter(host -> host.takesWork() && host.activity().isEmpty())
            .collect(ImmutableList.toImmutableList());
    int incoming =
        (int) view.hosts().values().stream().filter(host -> isMovingTo(host, need.pool())).count();
    boolean waveIsPending = maintenanceIsDue && need.budgetLeft() > 0 && !isWaveInProgress(hosts);
    boolean lossIsRecent = hosts.stream().anyMatch(host -> wasLostRecently(host, settings, now));
    int reserve = lossIsRecent ? reserve(need, available, settings) : 0;
    int headroom = maximumHosts(need.pool(), view) - hosts.size() - incoming;
    return new PoolBalance(
        need, available, incoming, waveIsPending ? 1 : 0, reserve, Math.max(0, headroom));
  }

  PoolName pool() {
    return need.pool();
  }

  /** Returns the available and incoming hosts beyond the need of the services; may be negative. */
  int surplusOverNeed() {
    return available.size() + incoming - need.hosts();
  }

  /** Returns the hosts beyond need, wave and reserve; negative if the pool wants more. */
  int surplusOverTarget() {
    return surplusOverNeed() - forWave - reserve;
  }

  /** Returns how many more hosts the pool wants, limited by its settings. */
  int wanted() {
    return Math.min(headroom, Math.max(0, -surplusOverTarget()));
  }

  private static int maximumHosts(PoolName pool, PoolView view) {
    PoolSettings settings = view.pools().get(pool);
    return settings == null ? 0 : settings.maximumHosts();
  }

  private static boolean wasLostRecently(HostRecord host, CapacitySettings settings, Instant now) {
    return host.lostAt().filter(at -> at.plus(settings.reserveTime()).isAfter(now)).isPresent();
  }

  /**
   * Returns the number of hosts in the largest availability zone if losing that zone would cost
   * more than the remaining budget, otherwise 0. Ignores the hosts already held in reserve:
   * counting them would return them and then request them again.
   */
  private static int reserve(
      PoolNeed need, ImmutableList<HostRecord> available, CapacitySettings settings) {
    int largestZone = hostsInLargestZone(available);
    double shortfall = Math.min(1, largestZone / (double) need.hosts());
    double budgetCost =
        shortfall * settings.reactionTime().toSeconds() / DemandLearner.BUDGET_WINDOW.toSeconds();
    return budgetCost > need.budgetLeft() ? largestZone : 0;
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
        "%s has %d available hosts and %d incoming; needs %d, %d for a wave, %d in reserve; may"
            + " hold %d more",
        need.pool(), available.size(), incoming, need.hosts(), forWave, reserve, headroom);
  }
}
