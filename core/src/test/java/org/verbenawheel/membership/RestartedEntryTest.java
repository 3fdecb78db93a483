package org.verbenawheel.membership;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.verbenawheel.identity.ProcessId;

/** Measures how soon an entry that restarted with empty state sees every live endpoint. */
final class RestartedEntryTest {
  private static final ProcessId RESTARTED = FakeEntries.entry(4);
  private static final int ENDPOINTS = 50;
  private static final int SEEDS = 40;

  @Test
  void queryingPeersOnStartIsFasterThanWaitingForHeartbeatsOrWholeLists() {
    Duration querying = longest(ProductionDecisions::new, true);
    Duration waiting = longest(ProductionDecisions::new, false);
    Duration wholeLists = longest(WholeListDecisions::new, false);
    assertThat(querying).isLessThan(waiting);
    assertThat(querying).isLessThan(wholeLists);
  }

  private static Duration longest(EntryDecisions.Factory factory, boolean queriesPeers) {
    return LongStream.rangeClosed(1, SEEDS)
        .mapToObj(seed -> timeToSeeAll(seed, factory, queriesPeers))
        .max(Duration::compareTo)
        .orElseThrow();
  }

  private static Duration timeToSeeAll(
      long seed, EntryDecisions.Factory factory, boolean queriesPeers) {
    FakeEntries entries = new FakeEntries(7, seed, factory);
    entries.queriesPeersOnStart = queriesPeers;
    entries.longestDelayMilliseconds = 3;
    List<FakeEndpoint> endpoints = new ArrayList<>();
    for (int number = 0; number < ENDPOINTS; number++) {
      endpoints.add(new FakeEndpoint(entries, number, seed));
    }
    run(entries, endpoints, Duration.ofMillis(2000 + seed * 7));
    entries.kill(RESTARTED);
    run(entries, endpoints, Duration.ofSeconds(2));
    entries.start(RESTARTED);
    Instant startedAt = entries.now();
    while (entries.view(RESTARTED).endpoints().size() < ENDPOINTS) {
      run(entries, endpoints, FakeEntries.STEP);
    }
    return Duration.between(startedAt, entries.now());
  }

  private static void run(FakeEntries entries, List<FakeEndpoint> endpoints, Duration duration) {
    Instant end = entries.now().plus(duration);
    while (entries.now().isBefore(end)) {
      entries.step();
      endpoints.forEach(FakeEndpoint::step);
    }
  }
}
