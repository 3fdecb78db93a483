package org.verbenawheel.membership;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.verbenawheel.identity.EndpointId;
import org.verbenawheel.identity.ProcessId;

/**
 * Drives the chosen way and whole lists on a timer through the same joins, leaves, restarts, cuts,
 * losses, delays and repeats: once the faults end, all entries of both must see the same endpoints.
 */
final class SpreadConvergenceTest {
  private static final Duration SETTLED = Duration.ofSeconds(4);
  private static final int ENDPOINTS = 30;
  private static final int ROUNDS = 60;

  static LongStream seeds() {
    return LongStream.rangeClosed(1, 40);
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void allEntriesSeeWhatWholeListsShow(long seed) {
    Run chosen = new Run(seed, ChosenDecisions::new);
    Run naive = new Run(seed, WholeListDecisions::new);
    chosen.play();
    naive.play();
    for (ProcessId entry : chosen.entries.names()) {
      assertThat(chosen.seenBy(entry)).isEqualTo(naive.seenBy(entry));
      assertThat(chosen.seenBy(entry)).isEqualTo(chosen.announced());
      assertThat(chosen.entries.view(entry).liveEntries()).isEqualTo(chosen.entries.names());
    }
  }

  private static final class Run {
    private final Random script;
    private final FakeEntries entries;
    private final List<FakeEndpoint> endpoints = new ArrayList<>();

    Run(long seed, EntryDecisions.Factory factory) {
      this.script = new Random(seed);
      this.entries = new FakeEntries(7, seed, factory);
      for (int number = 0; number < ENDPOINTS; number++) {
        endpoints.add(new FakeEndpoint(entries, number, seed));
      }
    }

    void play() {
      entries.lossRate = script.nextDouble() / 2;
      entries.repeatRate = script.nextDouble() / 2;
      entries.longestDelayMilliseconds = 1 + script.nextInt(800);
      for (int round = 0; round < ROUNDS; round++) {
        disturb();
        steps(Duration.ofMillis(10 + script.nextInt(300)));
      }
      entries.lossRate = 0;
      entries.longestDelayMilliseconds = 20;
      entries.healAll();
      entries.names().stream().filter(entry -> !entries.runs(entry)).forEach(entries::start);
      steps(SETTLED);
    }

    ImmutableMap<EndpointId, EndpointRecord> seenBy(ProcessId entry) {
      return entries.view(entry).endpoints();
    }

    ImmutableMap<EndpointId, EndpointRecord> announced() {
      TreeMap<EndpointId, EndpointRecord> announced = new TreeMap<>();
      endpoints.stream()
          .filter(FakeEndpoint::announces)
          .forEach(endpoint -> announced.put(endpoint.id(), endpoint.endpoint()));
      return ImmutableMap.copyOf(announced);
    }

    private void disturb() {
      FakeEndpoint endpoint = endpoints.get(script.nextInt(ENDPOINTS));
      ProcessId entry = anyEntry();
      switch (script.nextInt(7)) {
        case 0 -> endpoint.silence();
        case 1 -> leave(endpoint, entry);
        case 2, 3 -> endpoint.restart();
        case 4 -> entries.cut(entry, anyEntry());
        case 5 -> entries.healAll();
        default -> restart(entry);
      }
    }

    private void leave(FakeEndpoint endpoint, ProcessId entry) {
      endpoint.silence();
      entries.leave(entry, endpoint.endpoint());
    }

    private void restart(ProcessId entry) {
      entries.kill(entry);
      entries.start(entry);
    }

    private ProcessId anyEntry() {
      return entries.names().asList().get(script.nextInt(entries.names().size()));
    }

    private void steps(Duration duration) {
      Instant end = entries.now().plus(duration);
      while (entries.now().isBefore(end)) {
        entries.step();
        endpoints.forEach(FakeEndpoint::step);
      }
    }
  }
}
