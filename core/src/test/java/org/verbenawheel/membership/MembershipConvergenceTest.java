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
 * Guards against entries whose views stay different after faults. Runs the production membership
 * and a simple one, which sends whole lists on a timer, through the same joins, leaves, restarts,
 * cut links, and lost, delayed and repeated messages. Once the faults end, all entries of both must
 * see the same endpoints.
 */
final class MembershipConvergenceTest {
  private static final Duration SETTLING_TIME = Duration.ofSeconds(4);
  private static final int ENDPOINTS = 30;
  private static final int ROUNDS = 60;

  static LongStream seeds() {
    return LongStream.rangeClosed(1, 40);
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void allEntriesConvergeToTheSameViewAsWholeLists(long seed) {
    Run production = new Run(seed, ProductionDecisions::new);
    Run wholeLists = new Run(seed, WholeListDecisions::new);
    production.play();
    wholeLists.play();
    for (ProcessId entry : production.entries.names()) {
      assertThat(production.seenBy(entry)).isEqualTo(wholeLists.seenBy(entry));
      assertThat(production.seenBy(entry)).isEqualTo(production.announced());
      assertThat(production.entries.view(entry).liveEntries())
          .isEqualTo(production.entries.names());
    }
  }

  private static final class Run {
    private final Random faultSchedule;
    private final FakeEntries entries;
    private final List<FakeEndpoint> endpoints = new ArrayList<>();

    Run(long seed, EntryDecisions.Factory factory) {
      this.faultSchedule = new Random(seed);
      this.entries = new FakeEntries(7, seed, factory);
      for (int number = 0; number < ENDPOINTS; number++) {
        endpoints.add(new FakeEndpoint(entries, number, seed));
      }
    }

    void play() {
      entries.lossRate = faultSchedule.nextDouble() / 2;
      entries.repeatRate = faultSchedule.nextDouble() / 2;
      entries.longestDelayMilliseconds = 1 + faultSchedule.nextInt(800);
      for (int round = 0; round < ROUNDS; round++) {
        injectFault();
        steps(Duration.ofMillis(10 + faultSchedule.nextInt(300)));
      }
      entries.lossRate = 0;
      entries.longestDelayMilliseconds = 20;
      entries.healAll();
      entries.names().stream().filter(entry -> !entries.isRunning(entry)).forEach(entries::start);
      steps(SETTLING_TIME);
    }

    ImmutableMap<EndpointId, EndpointRecord> seenBy(ProcessId entry) {
      return entries.view(entry).endpoints();
    }

    ImmutableMap<EndpointId, EndpointRecord> announced() {
      TreeMap<EndpointId, EndpointRecord> announced = new TreeMap<>();
      endpoints.stream()
          .filter(FakeEndpoint::isAnnouncing)
          .forEach(endpoint -> announced.put(endpoint.id(), endpoint.endpoint()));
      return ImmutableMap.copyOf(announced);
    }

    private void injectFault() {
      FakeEndpoint endpoint = endpoints.get(faultSchedule.nextInt(ENDPOINTS));
      ProcessId entry = anyEntry();
      switch (faultSchedule.nextInt(7)) {
        case 0 -> endpoint.stopAnnouncing();
        case 1 -> leave(endpoint, entry);
        case 2, 3 -> endpoint.restart();
        case 4 -> entries.cut(entry, anyEntry());
        case 5 -> entries.healAll();
        default -> restart(entry);
      }
    }

    private void leave(FakeEndpoint endpoint, ProcessId entry) {
      endpoint.stopAnnouncing();
      entries.leave(entry, endpoint.endpoint());
    }

    private void restart(ProcessId entry) {
      entries.kill(entry);
      entries.start(entry);
    }

    private ProcessId anyEntry() {
      return entries.names().asList().get(faultSchedule.nextInt(entries.names().size()));
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
