package org.verbenawheel.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.verbenawheel.admission.QueueOrder;
import org.verbenawheel.dispatch.FakeEndpoints.Fault;

/**
 * Checks the targets of the request path in virtual time. Most tests also check that the naive
 * baseline misses the target, which shows that the load is hard enough.
 */
final class RequestPathTargetsTest {
  private static final int ENTRIES = 7;
  private static final Duration DURATION = Duration.ofSeconds(10);
  private static final Duration DEADLINE = Duration.ofSeconds(5);
  private static final double MAXIMUM_ATTEMPTS_PER_REQUEST = 1.2;
  private static final double MAXIMUM_WAIT_RATIO = 1.5;

  @Test
  void keepsShortWorkFromWaitingBehindStragglers() {
    double waitWithoutStragglers = shortWaitP99(runLoad(true, 8, 0, Fault.ERROR_STATUS, 960, 0));
    double waitWithStragglers = shortWaitP99(runLoad(true, 8, 0, Fault.ERROR_STATUS, 960, 2));
    assertThat(waitWithStragglers).isAtMost(MAXIMUM_WAIT_RATIO * waitWithoutStragglers);
    double naiveWait = shortWaitP99(runLoad(false, 8, 0, Fault.ERROR_STATUS, 960, 10));
    assertThat(naiveWait).isGreaterThan(100 * waitWithoutStragglers);
  }

  @Test
  void retriesWithinTheBudgetWithAThirdOfTheEndpointsFailing() {
    assertThat(attemptsPerRequest(runLoad(true, 9, 3, Fault.NOT_CONNECTED, 400, 0)))
        .isAtMost(MAXIMUM_ATTEMPTS_PER_REQUEST);
    assertThat(attemptsPerRequest(runLoad(false, 9, 3, Fault.NOT_CONNECTED, 400, 0)))
        .isGreaterThan(MAXIMUM_ATTEMPTS_PER_REQUEST);
  }

  @Test
  void doesNotMultiplyTheLoadOfAHundredFailingEndpoints() {
    assertThat(attemptsPerRequest(runLoad(true, 100, 100, Fault.NOT_CONNECTED, 400, 0)))
        .isAtMost(MAXIMUM_ATTEMPTS_PER_REQUEST);
  }

  @Test
  void ejectsAnEndpointThatFailsEverythingFast() {
    assertThat(runLoad(true, 9, 1, Fault.ERROR_STATUS, 400, 0).load.answeredShare())
        .isGreaterThan(0.99);
    assertThat(runLoad(false, 9, 1, Fault.ERROR_STATUS, 400, 0).load.answeredShare())
        .isLessThan(0.2);
  }

  private static Result runLoad(
      boolean useDispatcher,
      int endpoints,
      int failing,
      Fault fault,
      double perSecond,
      double stragglersPerSecond) {
    TestDeployment deployment =
        new TestDeployment(1, ENTRIES, endpoints, QueueOrder.EARLIEST_DEADLINE);
    Random random = new Random(1);
    List<NaiveEntry> naive = new ArrayList<>();
    for (int index = 0; index < ENTRIES; index++) {
      naive.add(new NaiveEntry(deployment.time, deployment.endpoints, deployment::records));
    }
    for (int index = 0; index < failing; index++) {
      deployment.endpoints.setFault(TestDeployment.endpoint(index), fault);
    }
    CallerLoad load =
        new CallerLoad(
            deployment,
            1,
            request ->
                useDispatcher
                    ? deployment.entry(random.nextInt(ENTRIES)).serve(request)
                    : naive.get(random.nextInt(ENTRIES)).serve(request));
    load.scheduleCalls(perSecond, DURATION, DEADLINE, RequestPathTargetsTest::shortPath);
    if (stragglersPerSecond > 0) {
      load.scheduleCalls(
          stragglersPerSecond, DURATION, Duration.ofSeconds(20), any -> "/report?run=4000");
    }
    deployment.time.advance(DURATION.plusSeconds(20));
    return new Result(deployment, load);
  }

  private static String shortPath(Random random) {
    double milliseconds = -Math.log(1 - random.nextDouble()) * 40;
    return "/quote?run=" + Math.max(1, Math.min(190, Math.round(milliseconds)));
  }

  private static double shortWaitP99(Result result) {
    return result.load.waitPercentile(
        0.99, call -> FakeEndpoints.runTimeOf(call.request()).toMillis() < 1_000);
  }

  private static double attemptsPerRequest(Result result) {
    return (double) result.deployment.endpoints.attempts() / result.load.calls().size();
  }

  /** The state after one run. */
  private record Result(TestDeployment deployment, CallerLoad load) {}
}
