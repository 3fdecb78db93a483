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
 * Works out how many more hosts of a pool may be out of service at once.
 *
 * <p>Two bounds hold. The hosts left must be as many as the pool needs, so that a planned stop
 * costs no caller an answer. And the share of requests that further, unplanned losses within the
 * time of the wave are expected to leave unanswered must be within what is left of the tightest
 * budget. Hosts that are lost or out already are not among the hosts counted.
 */
public final class WaveWidth {
  private final FailureRates rates;
  private final Duration waveTime;

  /**
   * Makes the computation.
   *
   * @param rates how often hosts and availability zones are lost
   * @param waveTime how long hosts of a wave are out of service
   */
  public WaveWidth(FailureRates rates, Duration waveTime) {
    this.rates = rates;
    this.waveTime = waveTime;
  }

  /**
   * Returns how many more hosts of the pool may be taken out of service.
   *
   * @param atWork the hosts of the pool that do work now and are in no activity
   * @param need what the pool must keep
   */
  public int widest(ImmutableList<HostRecord> atWork, PoolNeed need) {
    int width = Math.max(0, atWork.size() - need.hosts());
    while (width > 0 && expectedShortfall(atWork, width, need.hosts()) > need.budgetLeft()) {
      width--;
    }
    return width;
  }

  private double expectedShortfall(ImmutableList<HostRecord> atWork, int width, int needed) {
    return shortfallByHosts(atWork.size() - width, needed)
        + shortfallByZones(atWork, width, needed);
  }

  private double shortfallByHosts(int left, int needed) {
    double hostLoss = rates.hostLossWithin(waveTime);
    double expected = 0;
    for (int lost = 0; lost <= left; lost++) {
      expected += Binomial.exactly(left, hostLoss, lost) * shortfall(left - lost, needed);
    }
    return expected;
  }

  private double shortfallByZones(ImmutableList<HostRecord> atWork, int width, int needed) {
    ImmutableMultiset<AvailabilityZone> zones =
        atWork.stream()
            .map(host -> host.location().availabilityZone())
            .collect(ImmutableMultiset.toImmutableMultiset());
    double zoneLoss = rates.zoneLossWithin(waveTime);
    double expected = 0;
    for (Multiset.Entry<AvailabilityZone> zone : zones.entrySet()) {
      int left = Math.max(0, atWork.size() - width - zone.getCount());
      expected += zoneLoss * shortfall(left, needed);
    }
    return expected;
  }

  private static double shortfall(int left, int needed) {
    return needed == 0 ? 0 : Math.max(0, needed - left) / (double) needed;
  }
}
