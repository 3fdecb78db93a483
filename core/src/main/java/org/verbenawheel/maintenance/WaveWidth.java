package org.verbenawheel.maintenance;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMultiset;
import com.google.common.collect.Multiset;
import java.time.Duration;
import org.verbenawheel.capacity.Binomial;
import org.verbenawheel.capacity.FailureRates;
import org.verbenawheel.capacity.PoolNeed;
import org.verbenawheel.identity.AvailabilityZone;
import org.verbenawheel.pool.HostRecord;

/**
 * Computes how many more hosts of a pool may be taken out of service.
 *
 * <p>Two conditions must hold. First, the pool keeps as many hosts as it needs: a planned stop
 * leaves no request unanswered. Second, the share of requests that further, unplanned losses during
 * the wave are expected to leave unanswered is within what is left of the tightest availability
 * budget. Hosts that are already lost or out of service are not counted as available.
 */
public final class WaveWidth {
  private final FailureRates rates;
  private final Duration waveTime;

  /**
   * Creates the computation.
   *
   * @param rates how often hosts and availability zones are lost
   * @param waveTime how long the hosts of a wave are out of service
   */
  public WaveWidth(FailureRates rates, Duration waveTime) {
    this.rates = rates;
    this.waveTime = waveTime;
  }

  /**
   * Returns how many more hosts of the pool may be taken out of service.
   *
   * @param available the hosts of the pool that take work and have no activity
   * @param need the hosts that the pool must keep, and its remaining budget
   */
  public int maximumWidth(ImmutableList<HostRecord> available, PoolNeed need) {
    int width = Math.max(0, available.size() - need.hosts());
    while (width > 0 && expectedShortfall(available, width, need.hosts()) > need.budgetLeft()) {
      width--;
    }
    return width;
  }

  private double expectedShortfall(ImmutableList<HostRecord> available, int width, int needed) {
    return shortfallByHosts(available.size() - width, needed)
        + shortfallByZones(available, width, needed);
  }

  private double shortfallByHosts(int left, int needed) {
    double hostLoss = rates.hostLossWithin(waveTime);
    double expected = 0;
    for (int lost = 0; lost <= left; lost++) {
      expected += Binomial.exactly(left, hostLoss, lost) * shortfall(left - lost, needed);
    }
    return expected;
  }

  private double shortfallByZones(ImmutableList<HostRecord> available, int width, int needed) {
    ImmutableMultiset<AvailabilityZone> zones =
        available.stream()
            .map(host -> host.location().availabilityZone())
            .collect(ImmutableMultiset.toImmutableMultiset());
    double zoneLoss = rates.zoneLossWithin(waveTime);
    double expected = 0;
    for (Multiset.Entry<AvailabilityZone> zone : zones.entrySet()) {
      int left = Math.max(0, available.size() - width - zone.getCount());
      expected += zoneLoss * shortfall(left, needed);
    }
    return expected;
  }

  private static double shortfall(int left, int needed) {
    return needed == 0 ? 0 : Math.max(0, needed - left) / (double) needed;
  }
}
