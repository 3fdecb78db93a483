package org.verbenawheel.maintenance;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import java.time.Instant;
import java.util.Optional;
import java.util.stream.Stream;
import org.verbenawheel.capacity.Binomial;
import org.verbenawheel.identity.HostName;
import org.verbenawheel.pool.HostCondition;
import org.verbenawheel.pool.HostRecord;
import org.verbenawheel.pool.PoolView;

/**
 * Tests whether maintenance causes host failures or whether they are independent of it.
 *
 * <p>Maintenance halts if at least {@value #MINIMUM_FAILURES} hosts of the last two waves failed
 * after their wave began, and that many independent failures at the ordinary rate have a
 * probability below {@value #SIGNIFICANCE_LEVEL}. Two waves are counted to detect narrow waves with
 * one failure each.
 */
public final class FailureCorrelation {
  /** With fewer failures than this, maintenance never halts. */
  public static final int MINIMUM_FAILURES = 2;

  /** Failures count as correlated if independent ones have a lower probability than this. */
  public static final double SIGNIFICANCE_LEVEL = 0.01;

  private final double rebootFailureShare;

  /**
   * Creates the test.
   *
   * @param rebootFailureShare the ordinary share of reboots after which a host does not come back
   */
  public FailureCorrelation(double rebootFailureShare) {
    this.rebootFailureShare = rebootFailureShare;
  }

  /**
   * Returns why maintenance must halt.
   *
   * @param status the last waves, and the time from which failures count
   * @param view the hosts
   * @return the reason; empty if the failures appear independent
   */
  public Optional<String> reasonToHalt(MaintenanceStatus status, PoolView view) {
    int hosts = status.recentWaves().stream().mapToInt(wave -> wave.hosts().size()).sum();
    ImmutableList<HostName> failed =
        status.recentWaves().stream()
            .flatMap(wave -> failedHosts(wave, status.judgedFrom(), view))
            .collect(toImmutableList());
    double probability = Binomial.atLeast(hosts, rebootFailureShare, failed.size());
    if (failed.size() < MINIMUM_FAILURES || probability >= SIGNIFICANCE_LEVEL) {
      return Optional.empty();
    }
    return Optional.of(
        String.format(
            "%d of %d hosts of the last waves failed (%s); independent failures have a"
                + " probability of %.6f: find the cause, then resume",
            failed.size(), hosts, failed, probability));
  }

  private static Stream<HostName> failedHosts(
      MaintenanceWave wave, Instant judgedFrom, PoolView view) {
    Instant from = later(wave.startedAt(), judgedFrom);
    return wave.hosts().stream()
        .flatMap(host -> Stream.ofNullable(view.hosts().get(host)))
        .filter(host -> hasFailedSince(host, from))
        .map(HostRecord::host);
  }

  private static boolean hasFailedSince(HostRecord host, Instant from) {
    boolean lost = host.condition() == HostCondition.LOST && !host.changedAt().isBefore(from);
    return lost || host.lastFailure().filter(failure -> !failure.at().isBefore(from)).isPresent();
  }

  private static Instant later(Instant one, Instant other) {
    return one.isAfter(other) ? one : other;
  }
}
