package org.verbenawheel.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.verbenawheel.admission.QueueOrder;
import org.verbenawheel.dispatch.FakeEndpoints.Fault;

/** The stated targets in virtual time, each beside the naive way that misses it. */
final class RequestPathTargetsTest {
  private static final int ENTRIES = 7;
  private static final Duration DURATION = Duration.ofSeconds(10);
  private static final Duration DEADLINE = Duration.ofSeconds(5);
  private static final double MOST_ATTEMPTS_A_REQUEST = 1.2;
  private static final double MOST_TIMES_THE_WAIT = 1.5;

  @Test
  void keepsShortWorkFromWaitingBehindStragglers() {
    double without = shortWait(load(true, 8, 0, Fault.ERROR_STATUS, 960, 0));
    double with = shortWait(load(true, 8, 0, Fault.ERROR_STATUS, 960, 2));
    assertThat(with).isAtMost(MOST_TIMES_THE_WAIT * without);
    double naive = shortWait(load(false, 8, 0, Fault.ERROR_STATUS, 960, 10));
    assertThat(naive).isGreaterThan(100 * without);
  }

  @Test
  void retriesWithinTheBudgetWithAThirdOfTheEndpointsFailing() {
    assertThat(attempts(load(true, 9, 3, Fault.NOT_CONNECTED, 400, 0)))
        .isAtMost(MOST_ATTEMPTS_A_REQUEST);
    assertThat(attempts(load(false, 9, 3, Fault.NOT_CONNECTED, 400, 0)))
        .isGreaterThan(MOST_ATTEMPTS_A_REQUEST);
  }

  @Test
  void doesNotMultiplyTheLoadOfAHundredFailingEndpoints() {
    assertThat(attempts(load(true, 100, 100, Fault.NOT_CONNECTED, 400, 0)))
        .isAtMost(MOST_ATTEMPTS_A_REQUEST);
  }

  @Test
  void ejectsAnEndpointThatFailsEverythingFast() {
    assertThat(load(true, 9, 1, Fault.ERROR_STATUS, 400, 0).load.answeredShare())
        .isGreaterThan(0.99);
    assertThat(load(false, 9, 1, Fault.ERROR_STATUS, 400, 0).load.answeredShare()).isLessThan(0.2);
  }

  private static Result load(
      boolean chosen,
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
      deployment.endpoints.fail(TestDeployment.endpoint(index), fault);
    }
    Load load =
        new Load(
            deployment,
            1,
            request ->
                chosen
                    ? deployment.entry(random.nextInt(ENTRIES)).serve(request)
                    : naive.get(random.nextInt(ENTRIES)).serve(request));
    load.call(perSecond, DURATION, DEADLINE, RequestPathTargetsTest::shortPath);
    if (stragglersPerSecond > 0) {
      load.call(stragglersPerSecond, DURATION, Duration.ofSeconds(20), any -> "/report?run=4000");
    }
    deployment.time.pass(DURATION.plusSeconds(20));
    return new Result(deployment, load);
  }

  private static String shortPath(Random random) {
    double milliseconds = -Math.log(1 - random.nextDouble()) * 40;
    return "/quote?run=" + Math.max(1, Math.min(190, Math.round(milliseconds)));
  }

  private static double shortWait(Result result) {
    return result.load.waitPercentile(
        0.99, call -> FakeEndpoints.runTimeOf(call.request()).toMillis() < 1_000);
  }

  private static double attempts(Result result) {
    return (double) result.deployment.endpoints.attempts() / result.load.calls().size();
  }

  /** One run that ended. */
  private record Result(TestDeployment deployment, Load load) {}
}
