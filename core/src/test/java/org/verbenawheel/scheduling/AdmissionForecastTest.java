package org.verbenawheel.scheduling;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.verbenawheel.scheduling.OverloadedPool.Admission;
import org.verbenawheel.scheduling.OverloadedPool.JobClass;
import org.verbenawheel.scheduling.OverloadedPool.Tally;

/**
 * Tests what callers get from a pool that is asked for five times its usual load for 30 s, with
 * every job held, with a bounded queue and with {@link AdmissionForecast}.
 */
final class AdmissionForecastTest {
  private static final Admission HOLD = (pool, job) -> Optional.empty();

  private static final int LONGEST_QUEUE = 60;

  private static final Admission BOUNDED =
      (pool, job) ->
          pool.waitingJobs() < LONGEST_QUEUE
              ? Optional.empty()
              : Optional.of(Duration.ofSeconds(1));

  private static final Admission FORECAST =
      (pool, job) ->
          AdmissionForecast.retryAfter(
              job, pool.backlog(), pool.arriving(), OverloadedPool.millicores(), pool.now());

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void overloadLeavesFewJobsThatAreAcceptedInVain(long seed) {
    ImmutableMap<JobClass, Tally> held = play("hold", seed, HOLD);
    play("bounded", seed, BOUNDED);
    ImmutableMap<JobClass, Tally> forecast = play("forecast", seed, FORECAST);

    int heldInVain = held.values().stream().mapToInt(Tally::useless).sum();
    int acceptedInVain = forecast.values().stream().mapToInt(Tally::useless).sum();
    assertThat(acceptedInVain).isLessThan(heldInVain);
    for (JobClass jobClass : JobClass.values()) {
      assertWithMessage(jobClass.name())
          .that(forecast.get(jobClass).inTime())
          .isAtLeast((int) (0.97 * held.get(jobClass).inTime()));
      assertWithMessage(jobClass.name())
          .that(forecast.get(jobClass).shareInTimeAfterRecovery())
          .isAtLeast(0.95);
    }
  }

  private static ImmutableMap<JobClass, Tally> play(String name, long seed, Admission admission) {
    ImmutableMap<JobClass, Tally> tallies = new OverloadedPool(seed, admission).play();
    System.out.printf("admission=%s seed=%d %s%n", name, seed, tallies);
    return tallies;
  }
}
