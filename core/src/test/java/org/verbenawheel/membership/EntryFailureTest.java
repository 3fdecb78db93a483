package org.verbenawheel.membership;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.verbenawheel.identity.EndpointId;
import org.verbenawheel.identity.ProcessId;

/**
 * Guards against live endpoints that drop out of the other entries' views while their home entry
 * dies, restarts, drains or is partitioned, before they have moved to another entry.
 */
final class EntryFailureTest {
  private static final ProcessId FAILING = FakeEntries.entry(3);
  private static final int ENDPOINTS = 24;

  private final List<FakeEndpoint> endpoints = new ArrayList<>();
  private FakeEntries entries = new FakeEntries(7, 0);

  static LongStream seeds() {
    return LongStream.rangeClosed(1, 20);
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void liveEndpointsStayWhenTheirHomeEntryDies(long seed) {
    join(seed);
    entries.kill(FAILING);
    assertNoneDropsOut(Duration.ofSeconds(6));
    assertThat(homes()).doesNotContain(FAILING);
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void liveEndpointsStayWhenTheirHomeEntryRestarts(long seed) {
    join(seed);
    entries.kill(FAILING);
    run(Duration.ofMillis(seed * 40));
    entries.start(FAILING);
    assertNoneDropsOut(Duration.ofSeconds(6));
    assertThat(seenBy(FAILING)).hasSize(ENDPOINTS);
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void liveEndpointsStayWhenTheirHomeEntryDrains(long seed) {
    join(seed);
    entries.beginStop(FAILING);
    run(Duration.ofMillis(100));
    assertThat(entries.view(FakeEntries.entry(1)).liveEntries()).doesNotContain(FAILING);
    assertNoneDropsOut(Duration.ofSeconds(2));
    assertThat(homes()).doesNotContain(FAILING);
    entries.kill(FAILING);
    assertNoneDropsOut(Duration.ofSeconds(4));
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void endpointsOfAPartitionedEntryMoveToOtherEntries(long seed) {
    join(seed);
    int ownEndpoints = (int) homes().stream().filter(FAILING::equals).count();
    entries.cutOff(FAILING);
    run(entries.timings.trustTimeout().plus(entries.timings.tickInterval()));
    assertWithMessage("endpoints in the view of the partitioned entry, which trusts only its own")
        .that(seenBy(FAILING).size())
        .isAtMost(ownEndpoints);
    assertThat(entries.view(FAILING).liveEntries()).containsExactly(FAILING);
    run(Duration.ofSeconds(3));
    assertThat(seenBy(FakeEntries.entry(1))).hasSize(ENDPOINTS);
    assertThat(seenBy(FAILING)).isEmpty();
    entries.healAll();
    run(Duration.ofSeconds(1));
    assertThat(seenBy(FAILING)).hasSize(ENDPOINTS);
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void minorityOfSurvivingEntriesKeepsTheEndpoints(long seed) {
    join(seed);
    for (int number = 3; number <= 7; number++) {
      entries.kill(FakeEntries.entry(number));
    }
    run(Duration.ofSeconds(6));
    Instant end = entries.now().plusSeconds(6);
    while (entries.now().isBefore(end)) {
      step();
      assertThat(seenBy(FakeEntries.entry(1))).hasSize(ENDPOINTS);
      assertThat(seenBy(FakeEntries.entry(2))).hasSize(ENDPOINTS);
    }
  }

  private void join(long seed) {
    entries = new FakeEntries(7, seed);
    entries.longestDelayMilliseconds = 20;
    endpoints.clear();
    for (int number = 0; number < ENDPOINTS; number++) {
      endpoints.add(new FakeEndpoint(entries, number, seed));
    }
    run(Duration.ofSeconds(2).plusMillis(seed * 17));
    assertThat(homes()).contains(FAILING);
  }

  private void assertNoneDropsOut(Duration duration) {
    Instant end = entries.now().plus(duration);
    while (entries.now().isBefore(end)) {
      step();
      for (ProcessId entry : entries.names()) {
        if (entries.isRunning(entry) && !entry.equals(FAILING)) {
          assertThat(seenBy(entry)).hasSize(ENDPOINTS);
        }
      }
    }
  }

  private ImmutableSet<EndpointId> seenBy(ProcessId entry) {
    return entries.view(entry).endpoints().keySet();
  }

  private List<ProcessId> homes() {
    return endpoints.stream().flatMap(endpoint -> endpoint.home().stream()).toList();
  }

  private void run(Duration duration) {
    Instant end = entries.now().plus(duration);
    while (entries.now().isBefore(end)) {
      step();
    }
  }

  private void step() {
    entries.step();
    endpoints.forEach(FakeEndpoint::step);
  }
}
