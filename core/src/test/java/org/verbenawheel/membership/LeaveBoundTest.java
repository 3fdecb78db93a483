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
 * Guards against an entry that still sends work to an endpoint after {@link
 * MembershipTimings#LEAVE_BOUND}. The entry that an endpoint notifies of its departure dies at
 * once, while links are cut, messages are delayed by seconds, entries are frozen and one of the
 * endpoint's renewals arrives late.
 */
final class LeaveBoundTest {
  private static final Duration OBSERVATION_TIME = Duration.ofSeconds(10);
  private static final int SEEDS = 60;

  static LongStream seeds() {
    return LongStream.rangeClosed(1, SEEDS);
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void noEntryUsesALeavingEndpointAfterTheBound(long seed) {
    assertThat(lastUseAfterLeaving(seed, ProductionDecisions::new))
        .isAtMost(MembershipTimings.LEAVE_BOUND);
  }

  @Test
  void theBoundIsTheSumOfTheTimings() {
    MembershipTimings timings = MembershipTimings.DEFAULT;
    assertThat(timings.lease().plus(timings.trustTimeout()).plus(timings.tickInterval()))
        .isLessThan(MembershipTimings.LEAVE_BOUND);
  }

  @Test
  void wholeListsWithLeasesCountedFromArrivalExceedTheBound() {
    long missed =
        seeds()
            .filter(
                seed ->
                    lastUseAfterLeaving(seed, WholeListDecisions::new)
                            .compareTo(MembershipTimings.LEAVE_BOUND)
                        > 0)
            .count();
    assertWithMessage("seeds with work after the bound").that(missed).isGreaterThan(SEEDS / 4);
  }

  /** Returns how long after its departure some entry would still send the endpoint work. */
  private static Duration lastUseAfterLeaving(long seed, EntryDecisions.Factory factory) {
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
      ProcessId notified = anyEntry();
      injectFaults(notified);
      EndpointAnnouncement lateRenewal = leaving.nextAnnouncement();
      ProcessId lateRenewalTarget =
          random.nextBoolean() ? anyEntry() : leaving.home().orElseGet(this::anyEntry);
      leaving.stopAnnouncing();
      entries.leave(notified, leaving.endpoint());
      entries.killLosingMessages(notified);
      return observe(leaving, lateRenewal, lateRenewalTarget);
    }

    private void injectFaults(ProcessId notified) {
      entries.longestDelayMilliseconds = 1 + random.nextInt(3000);
      for (int count = random.nextInt(10); count > 0; count--) {
        entries.cut(anyEntry(), anyEntry());
      }
      for (int count = random.nextInt(3); count > 0; count--) {
        ProcessId entry = anyEntry();
        if (!entry.equals(notified)) {
          entries.freeze(entry);
        }
      }
      steps(Duration.ofMillis(random.nextInt(600)));
    }

    private Duration observe(
        FakeEndpoint leaving, EndpointAnnouncement lateRenewal, ProcessId lateRenewalTarget) {
      Instant leftAt = entries.now();
      Instant lateRenewalAt = leftAt.plusMillis(random.nextInt(6000));
      Instant thawedAt = leftAt.plusMillis(random.nextInt(6000));
      Instant lastUse = leftAt;
      boolean renewalArrived = false;
      while (entries.now().isBefore(leftAt.plus(OBSERVATION_TIME))) {
        if (entries.now().isAfter(thawedAt)) {
          names.forEach(entries::thaw);
          entries.healAll();
        }
        if (!renewalArrived && entries.now().isAfter(lateRenewalAt)) {
          renewalArrived = true;
          var unused = entries.announce(lateRenewalTarget, lateRenewal);
        }
        if (isInAnyView(leaving)) {
          lastUse = entries.now();
        }
        steps(FakeEntries.STEP);
      }
      return Duration.between(leftAt, lastUse);
    }

    private boolean isInAnyView(FakeEndpoint leaving) {
      return names.stream()
          .filter(entries::isRunning)
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
