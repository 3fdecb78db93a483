package org.verbenawheel.dispatch;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.verbenawheel.admission.QueueOrder;
import org.verbenawheel.request.CallerOutcome;
import org.verbenawheel.request.CallerRequest;
import org.verbenawheel.request.RunVerdict;

/**
 * Checks that no endpoint ever holds more requests than it has slots while entries crash, restart
 * and stop and messages are lost.
 */
final class SlotLimitTest {
  private static final int ENTRIES = 7;
  private static final int ENDPOINTS = 6;
  private static final int SEEDS = 320;
  private static final double CALLS_PER_SECOND = 450;
  private static final Duration DEADLINE = Duration.ofSeconds(4);
  private static final Duration DETECTION_SPREAD = Duration.ofMillis(300);

  static LongStream seeds() {
    return LongStream.range(0, SEEDS);
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void noEndpointExceedsItsSlotsDuringCrashesTakeoversAndMessageLoss(long seed) {
    TestDeployment deployment =
        new TestDeployment(seed, ENTRIES, ENDPOINTS, QueueOrder.EARLIEST_DEADLINE);
    Random random = new Random(seed);
    deployment.network.setLossShare(seed % 2 == 0 ? 0 : 0.02);
    CallerLoad load =
        new CallerLoad(deployment, seed, request -> serveAnywhere(deployment, random, request));
    load.scheduleCalls(CALLS_PER_SECOND, Duration.ofSeconds(3), DEADLINE, SlotLimitTest::path);
    for (int fault = 0; fault < 3; fault++) {
      deployment.time.advance(Duration.ofMillis(300 + random.nextInt(500)));
      injectFault(deployment, random);
    }
    deployment.time.advance(Duration.ofSeconds(10));
    assertThat(deployment.endpoints.peakHeld()).isAtMost(TestDeployment.SLOTS);
    assertThat(deployment.endpoints.peakHeld()).isGreaterThan(1);
    assertNoRequestInFlight(deployment, load);
    load.calls().forEach(call -> assertVerdictHolds(deployment, call));
    deployment.time.advance(Duration.ofSeconds(40));
    assertNoSlotLeaked(deployment);
  }

  @Test
  void endpointsExceedTheirSlotsWhenEachEntryCountsOnItsOwn() {
    TestDeployment deployment =
        new TestDeployment(1, ENTRIES, ENDPOINTS, QueueOrder.EARLIEST_DEADLINE);
    List<NaiveEntry> naive = new ArrayList<>();
    for (int index = 0; index < ENTRIES; index++) {
      naive.add(new NaiveEntry(deployment.time, deployment.endpoints, deployment::records));
    }
    Random random = new Random(1);
    CallerLoad load =
        new CallerLoad(deployment, 1, request -> naive.get(random.nextInt(ENTRIES)).serve(request));
    load.scheduleCalls(CALLS_PER_SECOND, Duration.ofSeconds(3), DEADLINE, SlotLimitTest::path);
    deployment.time.advance(Duration.ofSeconds(10));
    assertThat(deployment.endpoints.peakHeld()).isGreaterThan(TestDeployment.SLOTS);
  }

  private static CompletableFuture<CallerOutcome> serveAnywhere(
      TestDeployment deployment, Random random, CallerRequest request) {
    int index = random.nextInt(ENTRIES);
    while (!deployment.entry(index).acceptsRequests()) {
      index = (index + 1) % ENTRIES;
    }
    return deployment.entry(index).serve(request);
  }

  private static String path(Random random) {
    int kind = random.nextInt(20);
    if (kind == 0) {
      return "/report?run=" + (1_000 + random.nextInt(1_500));
    }
    String route = random.nextBoolean() ? "/order" : "/quote";
    return route + "?run=" + (5 + random.nextInt(120));
  }

  private static void injectFault(TestDeployment deployment, Random random) {
    int dispatcher = deployment.dispatcherIndex();
    switch (random.nextInt(4)) {
      case 0 -> deployment.kill(dispatcher, DETECTION_SPREAD);
      case 1 -> deployment.kill(anotherAcceptingEntry(deployment, dispatcher), DETECTION_SPREAD);
      case 2 -> {
        deployment.kill(dispatcher, DETECTION_SPREAD);
        deployment.time.advance(Duration.ofMillis(400));
        deployment.restart(dispatcher, DETECTION_SPREAD);
      }
      default -> deployment.stopGracefully(dispatcher);
    }
  }

  private static int anotherAcceptingEntry(TestDeployment deployment, int dispatcher) {
    int index = (dispatcher + 1) % ENTRIES;
    while (!deployment.entry(index).acceptsRequests()) {
      index = (index + 1) % ENTRIES;
    }
    return index;
  }

  private static void assertNoRequestInFlight(TestDeployment deployment, CallerLoad load) {
    long inFlight = 0;
    for (int index = 0; index < ENTRIES; index++) {
      if (deployment.entry(index).isAlive()) {
        inFlight += deployment.entry(index).path.inFlight();
      }
    }
    assertThat(inFlight).isEqualTo(0);
    assertThat(load.count(CallerLoad.Call::isAnswered)).isGreaterThan(0);
  }

  private static void assertVerdictHolds(TestDeployment deployment, CallerLoad.Call call) {
    int runs = deployment.endpoints.runs(call.request().id());
    if (call.request().idempotencyKey().isPresent()) {
      assertThat(runs).isAtMost(1);
    }
    if (call.outcome().verdict() == RunVerdict.NOT_RUN && call.isEnded()) {
      assertThat(runs).isEqualTo(0);
    }
  }

  private static void assertNoSlotLeaked(TestDeployment deployment) {
    var dump = deployment.entry(deployment.dispatcherIndex()).path.dump();
    deployment.time.advance(Duration.ofMillis(1));
    assertWithMessage("dump").that(dump.join().toString()).contains("slotsHeld=0");
  }
}
