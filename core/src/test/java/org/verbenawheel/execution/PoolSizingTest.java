package org.verbenawheel.execution;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.verbenawheel.execution.PoolSizing.Inputs;
import org.verbenawheel.execution.PoolSizing.Member;
import org.verbenawheel.execution.PoolSizing.Transfer;

/** Tests {@link PoolSizing}. */
final class PoolSizingTest {
  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
  private static final long HOST_MILLICORES = 32_000;

  /** Just after the settling time, in which workers may still have to report. */
  private static final Duration SETTLED = Duration.ofMillis(6_100);

  private final PoolSizing sizing = new PoolSizing(Duration.ofSeconds(2), Duration.ofMillis(100));
  private final List<Member> members = new ArrayList<>();
  private final List<String> parked = new ArrayList<>();
  private final Map<String, Long> demand = new HashMap<>();
  private final Map<String, Long> shortages = new HashMap<>();
  private final Map<String, Long> used = new HashMap<>();
  private final Map<String, Long> arriving = new HashMap<>();
  private final Set<Transfer> impossible = new HashSet<>();

  @Test
  void idleHostsBeyondTheShareOfTheRecentPeakAreParked() {
    idleHosts("p", 10);

    assertThat(decide(Duration.ZERO)).isEmpty();
    assertThat(decide(SETTLED.minusMillis(200))).isEmpty();
    // 0.85 of ten hosts are kept.
    assertThat(decide(SETTLED)).hasSize(1);
    assertThat(transfers(SETTLED).stream().map(Transfer::pool).distinct().toList())
        .containsExactly("standby");
  }

  @Test
  void nothingIsParkedWhileWorkersMayStillHaveToReport() {
    idleHosts("p", 2);
    assertThat(decide(Duration.ZERO)).isEmpty();
    members.clear();
    idleHosts("p", 10);
    assertThat(decide(SETTLED.minusMillis(200))).isEmpty();

    // 0.85 of ten hosts are kept, not of the two that reported first.
    assertThat(decide(SETTLED)).hasSize(1);
  }

  @Test
  void hostsThatWereBusyRecentlyStay() {
    for (int number = 0; number < 10; number++) {
      members.add(member("h" + number, "p", Optional.of(START.plus(SETTLED)), "a"));
    }
    assertThat(decide(Duration.ZERO)).isEmpty();
    assertThat(decide(SETTLED.minusMillis(200))).isEmpty();

    assertThat(decide(SETTLED.plusSeconds(1))).isEmpty();
    assertThat(decide(SETTLED.plusMillis(2_100))).hasSize(1);
  }

  @Test
  void busyHostsStay() {
    for (int number = 0; number < 10; number++) {
      members.add(member("h" + number, "p", Optional.empty(), "a"));
    }

    assertThat(decide(Duration.ofMinutes(3))).isEmpty();
  }

  @Test
  void oneIdleHostBeyondTheDemandStaysLongAfterThePeak() {
    idleHosts("p", 10);
    demand.put("p", 2 * HOST_MILLICORES);
    var unused = decide(Duration.ZERO);

    // The demand takes 2.3 hosts, and one more stays.
    assertThat(decide(Duration.ofHours(1))).hasSize(6);
  }

  @Test
  void lastHostWithALabelStays() {
    idleHosts("p", 9);
    members.add(member("special", "p", Optional.of(START), "b"));
    var unused = decide(Duration.ZERO);

    assertThat(decide(Duration.ofHours(1))).doesNotContain("special");
  }

  @Test
  void parkedHostsAreLentToAPoolThatAsksForMore() {
    idleHosts("p", 2);
    parked.addAll(List.of("s1", "s2", "s3"));
    demand.put("p", 3 * HOST_MILLICORES);

    assertThat(transfers(Duration.ZERO).stream().map(Transfer::pool).toList())
        .containsExactly("p", "p");
  }

  @Test
  void lastingShortageGetsAHostEvenIfTheTotalCapacitySuffices() {
    idleHosts("p", 4);
    parked.addAll(List.of("s1", "s2"));
    shortages.put("p", 1_000L);
    assertThat(decide(Duration.ZERO)).isEmpty();

    assertThat(decide(Duration.ofMillis(100))).containsExactly("s1");
    arriving.put("p", HOST_MILLICORES);
    assertThat(decide(Duration.ofMillis(200))).isEmpty();
  }

  @Test
  void shortShortageLendsNothing() {
    idleHosts("p", 4);
    parked.add("s1");
    shortages.put("p", 1_000L);
    var unused = decide(Duration.ZERO);
    shortages.clear();
    unused = decide(Duration.ofMillis(50));
    shortages.put("p", 1_000L);

    assertThat(decide(Duration.ofMillis(120))).isEmpty();
  }

  @Test
  void arrivingHostsCountAsCapacity() {
    idleHosts("p", 2);
    parked.addAll(List.of("s1", "s2", "s3"));
    demand.put("p", 3 * HOST_MILLICORES);
    arriving.put("p", 2 * HOST_MILLICORES);

    assertThat(decide(Duration.ZERO)).isEmpty();
  }

  @Test
  void idleHostsOfAnotherPoolAreLentWhenNoneIsParked() {
    members.add(member("busy", "p", Optional.empty(), "a"));
    idleHosts("q", 10);
    demand.put("p", 2 * HOST_MILLICORES);

    assertThat(transfers(Duration.ZERO).stream().map(Transfer::pool).toList())
        .containsExactly("p", "p");
  }

  @Test
  void lendingPoolKeepsOneHostBeyondItsDemand() {
    members.add(member("busy", "p", Optional.empty(), "a"));
    idleHosts("q", 10);
    demand.put("p", 20 * HOST_MILLICORES);
    demand.put("q", 2 * HOST_MILLICORES);

    // The demand takes 2.3 hosts, and one more stays.
    assertThat(decide(Duration.ZERO)).hasSize(6);
  }

  @Test
  void lastHostWithALabelIsNotLent() {
    members.add(member("busy", "p", Optional.empty(), "a"));
    idleHosts("q", 4);
    members.add(member("special", "q", Optional.of(START), "b"));
    demand.put("p", 20 * HOST_MILLICORES);

    assertThat(decide(Duration.ZERO)).doesNotContain("special");
  }

  @Test
  void hostsThatWaitForMaintenanceAreParkedButNotLent() {
    members.add(member("busy", "p", Optional.empty(), "a"));
    for (int number = 0; number < 10; number++) {
      members.add(
          new Member(
              "h" + number,
              "q",
              HOST_MILLICORES,
              ImmutableSet.of("a"),
              Optional.of(START),
              false,
              true));
    }
    demand.put("p", 2 * HOST_MILLICORES);

    assertThat(decide(Duration.ZERO)).isEmpty();
    assertThat(transfers(SETTLED).stream().map(Transfer::pool).distinct().toList())
        .containsExactly("standby");
  }

  @Test
  void borrowedHostsGoFirst() {
    idleHosts("p", 4);
    members.add(
        new Member(
            "lent",
            "p",
            HOST_MILLICORES,
            ImmutableSet.of("a"),
            Optional.of(START.plusMillis(500)),
            true,
            false));

    var unused = decide(Duration.ZERO);

    assertThat(decide(Duration.ofHours(1)).get(0)).isEqualTo("lent");
  }

  @Test
  void impossibleTransfersAreNotOrderedAgain() {
    idleHosts("p", 1);
    parked.add("s1");
    demand.put("p", 3 * HOST_MILLICORES);
    impossible.addAll(transfers(Duration.ZERO));

    assertThat(decide(Duration.ZERO)).isEmpty();
  }

  @Test
  void standbyPoolIsNeverLentTo() {
    idleHosts("p", 4);
    parked.add("s1");
    demand.put("standby", 9 * HOST_MILLICORES);

    assertThat(decide(Duration.ZERO)).isEmpty();
  }

  private void idleHosts(String pool, int count) {
    for (int number = 0; number < count; number++) {
      members.add(member("h" + number, pool, Optional.of(START), "a"));
    }
  }

  private static Member member(
      String host, String pool, Optional<Instant> idleSince, String label) {
    return new Member(host, pool, HOST_MILLICORES, ImmutableSet.of(label), idleSince, false, false);
  }

  private ImmutableList<String> decide(Duration afterStart) {
    return transfers(afterStart).stream()
        .map(Transfer::host)
        .collect(ImmutableList.toImmutableList());
  }

  private ImmutableList<Transfer> transfers(Duration afterStart) {
    return sizing.decide(
        new Inputs(
            members,
            parked,
            arriving,
            ImmutableMap.copyOf(demand),
            shortages,
            used,
            "standby",
            impossible),
        START.plus(afterStart));
  }
}
