package org.verbenawheel.capacity;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Instant;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.verbenawheel.configuration.ServiceSettings;
import org.verbenawheel.identity.PoolName;
import org.verbenawheel.identity.ServiceName;

final class HostNeedTest {
  private static final long SEED_SPREAD = 0x9e3779b97f4a7c15L;
  private static final int CYCLES = 20;

  static LongStream seeds() {
    return LongStream.range(0, 200);
  }

  /** Simulates bursts second by second through a queue with the computed capacity. */
  @ParameterizedTest
  @MethodSource("seeds")
  void noRequestOfABurstWaitsBeyondItsDeadline(long seed) {
    Random random = new Random(seed * SEED_SPREAD);
    ServiceSettings settings = settings(1_000 + random.nextInt(9_000));
    int burstSeconds = 1 + random.nextInt(10);
    double peak = 10 + random.nextInt(200);
    int quietSeconds = 30 + random.nextInt(60);
    double mean = peak * burstSeconds / (burstSeconds + quietSeconds);
    int hosts = HostNeed.hosts(settings, demand(mean, peak, burstSeconds));

    double capacity = hosts * (double) settings.slotsPerEndpoint();
    double queue = 0;
    double longestWait = 0;
    for (int second = 0; second < CYCLES * (burstSeconds + quietSeconds); second++) {
      boolean inBurst = second % (burstSeconds + quietSeconds) < burstSeconds;
      queue = Math.max(0, queue + (inBurst ? peak : 0) - capacity);
      longestWait = Math.max(longestWait, queue / capacity);
    }
    assertWithMessage("wait in seconds, seed %s", seed)
        .that(longestWait)
        .isAtMost(settings.deadlineMilliseconds() / 1_000.0);
  }

  @Test
  void longerDeadlineLetsTheQueueAbsorbABurstWithFewerHosts() {
    assertThat(HostNeed.hosts(settings(5_000), demand(16, 80, 5))).isEqualTo(6);
    assertThat(HostNeed.hosts(settings(2_000), demand(16, 80, 5))).isEqualTo(8);
  }

  private static ServiceSettings settings(long deadlineMilliseconds) {
    return ServiceSettings.builder(new ServiceName("selo"), new PoolName("selo"))
        .deadlineMilliseconds(deadlineMilliseconds)
        .build();
  }

  private static ServiceDemand demand(double mean, double peak, double seconds) {
    return new ServiceDemand(new ServiceName("selo"), mean, peak, seconds, 0, Instant.EPOCH);
  }
}
