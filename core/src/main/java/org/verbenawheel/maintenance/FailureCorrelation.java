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
 * Tells failures that the maintenance causes from failures that only happen during it.
 *
 * <p>The rule: among the hosts of the last two waves, at least {@value #FEWEST_FAILURES} failed
 * since their wave began, and independent failures at the ordinary rate would give as many with a
 * probability below {@value #SIGNIFICANCE}. Two waves are looked at, so that narrow waves with one
 * failure each are seen too.
 */
public final class FailureCorrelation {
  /** Fewer failures than this are never called correlated. */
  public static final int FEWEST_FAILURES = 2;

  /** Failures are correlated if chance gives as many less often than this. */
  public static final double SIGNIFICANCE = 0.01;

  private final double rebootFailureShare;

  /**
   * Makes the rule.
   *
   * @param rebootFailureShare the share of reboots after which a host ordinarily does not come back
   */
  public FailureCorrelation(double rebootFailureShare) {
    this.rebootFailureShare = rebootFailureShare;
  }

  /**
   * Returns why the waves have to halt.
   *
   * @param status the last waves and the moment from which failures count
   * @param view the hosts
   * @return the reason; empty if the failures look independent
   */
  public Optional<String> reasonToHalt(MaintenanceStatus status, PoolView view) {
    int hosts = status.recentWaves().stream().mapToInt(wave -> wave.hosts().size()).sum();
    ImmutableList<HostName> failed =
        status.recentWaves().stream()
            .flatMap(wave -> failedHosts(wave, status.judgedFrom(), view))
            .collect(toImmutableList());
    double probability = Binomial.atLeast(hosts, rebootFailureShare, failed.size());
    if (failed.size() < FEWEST_FAILURES || probability >= SIGNIFICANCE) {
      return Optional.empty();
    }
    return Optional.of(
        String.format(
            "%d of %d hosts of the last waves failed (%s), which chance gives with probability"
                + " %.6f: find the cause, then resume",
            failed.size(), hosts, failed, probability));
  }

  private static Stream<HostName> failedHosts(
      MaintenanceWave wave, Instant judgedFrom, PoolView view) {
    Instant from = later(wave.startedAt(), judgedFrom);
    return wave.hosts().stream()
        .flatMap(host -> Stream.ofNullable(view.hosts().get(host)))
        .filter(host -> failedSince(host, from))
        .map(HostRecord::host);
  }

  private static boolean failedSince(HostRecord host, Instant from) {
    boolean lost = host.condition() == HostCondition.LOST && !host.changedAt().isBefore(from);
    return lost || host.lastFailure().filter(failure -> !failure.at().isBefore(from)).isPresent();
  }

  private static Instant later(Instant one, Instant other) {
    return one.isAfter(other) ? one : other;
  }
}
