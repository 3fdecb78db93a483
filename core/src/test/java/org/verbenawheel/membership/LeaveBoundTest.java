package org.verbenawheel.membership;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.verbenawheel.identity.ProcessId;

/**
 * An endpoint says that it leaves and the entry it told dies at once, while links are cut, words
 * are seconds late, entries are frozen and a renewal is stuck on its way.
 */
final class LeaveBoundTest {
  private static final Duration OBSERVED = Duration.ofSeconds(10);
  private static final int SEEDS = 60;

  static LongStream seeds() {
    return LongStream.rangeClosed(1, SEEDS);
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void noEntryUsesTheEndpointAfterTheBound(long seed) {
    assertThat(longestUse(seed, ChosenDecisions::new)).isAtMost(MembershipTimings.LEAVE_BOUND);
  }

  @Test
  void theBoundIsTheSumOfTheTimings() {
    MembershipTimings timings = MembershipTimings.DEFAULT;
    assertThat(timings.lease().plus(timings.vouch()).plus(timings.tick()))
        .isLessThan(MembershipTimings.LEAVE_BOUND);
  }

  @Test
  void wholeListsAndLeasesFromArrivalMissTheBound() {
    long missed =
        seeds()
            .filter(
                seed ->
                    longestUse(seed, WholeListDecisions::new)
                            .compareTo(MembershipTimings.LEAVE_BOUND)
                        > 0)
            .count();
    assertWithMessage("seeds with work after the bound").that(missed).isGreaterThan(SEEDS / 4);
  }

  /** Returns how long after its word some entry would still send the endpoint work. */
  private static Duration longestUse(long seed, EntryDecisions.Factory factory) {
    return new Scenario(seed, factory).run();
  }

  private static final class Scenario {
    private final Random random;
    private final FakeEntries entries;
    private final List<FakeEndpoint> endpoints = new ArrayList<>();
    private final List<ProcessId> names;

    Scenario(long seed, EntryDecisions.Factory factory) {
      this.random = new Random(seed);
      this.entries = new FakeEntries(7, seed, factory);
      this.names = entries.names().asList();
      for (int number = 0; number < 12; number++) {
        endpoints.add(new FakeEndpoint(entries, number, seed));
      }
    }

    Duration run() {
      steps(Duration.ofMillis(2000 + random.nextInt(400)));
      FakeEndpoint leaving = endpoints.get(random.nextInt(endpoints.size()));
      ProcessId told = anyEntry();
      breakThings(told);
      EndpointAnnouncement stuck = leaving.nextAnnouncement();
      ProcessId stuckAt =
          random.nextBoolean() ? anyEntry() : leaving.home().orElseGet(this::anyEntry);
      leaving.silence();
      entries.leave(told, leaving.endpoint());
      entries.killWithItsWords(told);
      return observe(leaving, stuck, stuckAt);
    }

    private void breakThings(ProcessId told) {
      entries.longestDelayMilliseconds = 1 + random.nextInt(3000);
      for (int count = random.nextInt(10); count > 0; count--) {
        entries.cut(anyEntry(), anyEntry());
      }
      for (int count = random.nextInt(3); count > 0; count--) {
        ProcessId entry = anyEntry();
        if (!entry.equals(told)) {
          entries.freeze(entry);
        }
      }
      steps(Duration.ofMillis(random.nextInt(600)));
    }

    private Duration observe(FakeEndpoint leaving, EndpointAnnouncement stuck, ProcessId stuckAt) {
      Instant left = entries.now();
      Instant stuckUntil = left.plusMillis(random.nextInt(6000));
      Instant thawedAt = left.plusMillis(random.nextInt(6000));
      Instant lastUse = left;
      boolean arrived = false;
      while (entries.now().isBefore(left.plus(OBSERVED))) {
        if (entries.now().isAfter(thawedAt)) {
          names.forEach(entries::thaw);
          entries.healAll();
        }
        if (!arrived && entries.now().isAfter(stuckUntil)) {
          arrived = true;
          var unused = entries.announce(stuckAt, stuck);
        }
        if (isUsed(leaving)) {
          lastUse = entries.now();
        }
        steps(FakeEntries.STEP);
      }
      return Duration.between(left, lastUse);
    }

    private boolean isUsed(FakeEndpoint leaving) {
      return names.stream()
          .filter(entries::runs)
          .anyMatch(entry -> entries.view(entry).endpoints().containsKey(leaving.id()));
    }

    private void steps(Duration duration) {
      Instant end = entries.now().plus(duration);
      while (entries.now().isBefore(end)) {
        entries.step();
        endpoints.forEach(FakeEndpoint::step);
      }
    }

    private ProcessId anyEntry() {
      return names.get(random.nextInt(names.size()));
    }
  }
}
