package org.verbenawheel.maintenance;

import static com.google.common.truth.Truth.assertThat;
import static org.verbenawheel.pool.Fleet.host;
import static org.verbenawheel.pool.Fleet.pool;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.verbenawheel.capacity.FailureRates;
import org.verbenawheel.capacity.PoolNeed;
import org.verbenawheel.pool.Fleet;
import org.verbenawheel.pool.HostRecord;

final class WaveWidthTest {
  private static final Duration WAVE = Duration.ofMinutes(15);

  private final WaveWidth ordinary = new WaveWidth(FailureRates.ORDINARY, WAVE);

  @Test
  void allowsEveryHostBeyondTheNeedWhileTheBudgetIsUnspent() {
    assertThat(ordinary.maximumWidth(hosts(9), new PoolNeed(pool(0), 6, 0.001))).isEqualTo(3);
    assertThat(ordinary.maximumWidth(hosts(7), new PoolNeed(pool(0), 6, 0.001))).isEqualTo(1);
    assertThat(ordinary.maximumWidth(hosts(5), new PoolNeed(pool(0), 6, 0.001))).isEqualTo(0);
  }

  @Test
  void narrowsWithLessBudgetAndMoreFrequentHostLosses() {
    PoolNeed unspent = new PoolNeed(pool(0), 6, 0.001);
    PoolNeed nearlySpent = new PoolNeed(pool(0), 6, 0.00005);
    PoolNeed spent = new PoolNeed(pool(0), 6, 0);
    WaveWidth frequentLosses = new WaveWidth(new FailureRates(1, 0, 0.005), WAVE);
    assertThat(ordinary.maximumWidth(hosts(9), nearlySpent)).isEqualTo(2);
    assertThat(ordinary.maximumWidth(hosts(9), spent)).isEqualTo(0);
    assertThat(frequentLosses.maximumWidth(hosts(9), unspent)).isLessThan(3);
  }

  private static ImmutableList<HostRecord> hosts(int count) {
    return IntStream.range(0, count)
        .mapToObj(
            number ->
                HostRecord.builder(
                        host(number), Fleet.location(number, number % 3), Fleet.RUNNER, pool(0))
                    .build())
        .collect(ImmutableList.toImmutableList());
  }
}
