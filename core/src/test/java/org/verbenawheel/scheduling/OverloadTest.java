package org.verbenawheel.scheduling;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Objects;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.verbenawheel.scheduling.OverloadedPool.JobClass;
import org.verbenawheel.scheduling.OverloadedPool.Tally;

/**
 * Tests what callers get from a pool that is asked for five times its usual load for 30 s, compared
 * with a scheduler whose jobs without value may fill the pool.
 */
final class OverloadTest {
  private static final int SEEDS = 5;

  @Test
  void jobsWithoutValueDoNotDelayThoseThatCanBeInTime() {
    ImmutableList<ImmutableMap<JobClass, Tally>> naive = play("naive", 0);
    ImmutableList<ImmutableMap<JobClass, Tally>> chosen = play("chosen", 0.25);

    assertThat(inTime(chosen, JobClass.QUOTE)).isAtLeast(inTime(naive, JobClass.QUOTE));
    assertThat(inTime(chosen, JobClass.CAST)).isGreaterThan(inTime(naive, JobClass.CAST));
  }

  // An overload must not keep itself up once its cause has gone.
  @Test
  void callersAreServedInTimeAgainWithinOneDeadlineAfterTheSurge() {
    for (ImmutableMap<JobClass, Tally> tallies : play("chosen", 0.25)) {
      tallies.forEach(
          (jobClass, tally) ->
              assertWithMessage(jobClass.name())
                  .that(tally.shareInTimeAfterRecovery())
                  .isAtLeast(0.95));
    }
  }

  private static long inTime(
      ImmutableList<ImmutableMap<JobClass, Tally>> plays, JobClass jobClass) {
    return plays.stream()
        .mapToLong(tallies -> Objects.requireNonNull(tallies.get(jobClass)).inTime())
        .sum();
  }

  private static ImmutableList<ImmutableMap<JobClass, Tally>> play(
      String name, double shareKeptForTimelyJobs) {
    return LongStream.rangeClosed(1, SEEDS)
        .mapToObj(
            seed -> {
              JobScheduler scheduler =
                  new JobScheduler(job -> "p", task -> worker -> true, shareKeptForTimelyJobs);
              ImmutableMap<JobClass, Tally> tallies = new OverloadedPool(seed, scheduler).play();
              System.out.printf("scheduler=%s seed=%d %s%n", name, seed, tallies);
              return tallies;
            })
        .collect(ImmutableList.toImmutableList());
  }
}
