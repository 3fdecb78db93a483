package org.verbenawheel.scenarios;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.verbenawheel.fake.FakeBalancer;
import org.verbenawheel.fake.FakeEndpoint;
import org.verbenawheel.load.BackgroundLoad;
import org.verbenawheel.load.LoadReport;
import org.verbenawheel.local.LocalProcess;
import org.verbenawheel.local.Waiting;

/** Steps in which endpoints leave and entries stop under a continuous load. */
public final class StopSteps {
  private static final Duration DEPARTURE_LIMIT = Duration.ofSeconds(3);
  private static final Duration OBSERVATION_TIME = Duration.ofSeconds(3);
  private static final int CONCURRENCY = 9;

  private final DeploymentWorld world;
  private final List<Integer> exitCodes = new ArrayList<>();
  private @Nullable BackgroundLoad load;
  private @Nullable FakeBalancer balancer;
  private long startedAtLimit;
  private long startedByOthersAtLimit;

  /** Created by Cucumber for each scenario. */
  public StopSteps(DeploymentWorld world) {
    this.world = world;
  }

  /** Stops the load, before the processes are stopped. */
  @After(order = 20_000)
  public void stopLoad() {
    if (load != null) {
      LoadReport unused = load.stop();
    }
    if (balancer != null) {
      balancer.close();
    }
  }

  /** Starts a load through all entries, round robin. */
  @Given("callers continuously request quotes of service {string} through all entries")
  public void loadAllEntries(String service) {
    load =
        new BackgroundLoad(
            CONCURRENCY,
            number -> world.callers().get(number % world.entryCount()),
            number -> DeploymentWorld.quote(service, 5),
            DeploymentWorld::isCompleteOwnAnswer,
            Duration.ofSeconds(6));
  }

  /** Starts a load through the entries that are ready. */
  @Given(
      "callers continuously request {int} millisecond quotes of service {string} through a balancer")
  public void loadThroughBalancer(int milliseconds, String service) {
    FakeBalancer started = new FakeBalancer(world.callers());
    balancer = started;
    load =
        new BackgroundLoad(
            CONCURRENCY,
            number -> started.next(),
            number -> DeploymentWorld.quote(service, milliseconds),
            DeploymentWorld::isCompleteOwnAnswer,
            DeploymentWorld.ANSWER_TIMEOUT);
  }

  /** Reports an endpoint's departure and kills the entry that received it. */
  @When("endpoint {int} reports its departure and the entry that received it is killed at once")
  public void leaveAndKill(int endpoint) {
    String receiver = world.fleet().leave(endpoint);
    world.deployment().entries().stream()
        .filter(entry -> entry.httpAddress().equals(receiver))
        .forEach(LocalProcess::kill);
    boolean unused = Waiting.until(() -> false, DEPARTURE_LIMIT);
    startedAtLimit = endpoint(endpoint).started();
    startedByOthersAtLimit = startedByOthers(endpoint);
  }

  /** Checks that a departed endpoint receives no request during the observation time. */
  @Then("endpoint {int} receives no new work after 3 seconds")
  public void receivesNothing(int endpoint) {
    boolean receivedMore =
        Waiting.until(() -> endpoint(endpoint).started() > startedAtLimit, OBSERVATION_TIME);
    assertThat(receivedMore).isFalse();
  }

  /** Checks that the load continued. */
  @Then("the other endpoints continue to receive work")
  public void othersReceiveWork() {
    boolean receivedMore =
        Waiting.until(
            () -> startedByOthers(1) > startedByOthersAtLimit, DeploymentWorld.STEP_TIMEOUT);
    assertThat(receivedMore).isTrue();
  }

  /** Restarts the entries one after the other, each once the one before is ready again. */
  @When("every entry is stopped gracefully and started again, one after the other")
  public void rollingRestart() throws IOException {
    for (LocalProcess entry : world.deployment().entries()) {
      entry.terminate();
      assertThat(entry.awaitExit(DeploymentWorld.STEP_TIMEOUT)).isTrue();
      exitCodes.add(entry.exitCode());
      entry.start();
      world.deployment().awaitReady(entry);
    }
  }

  /** Stops the load and checks that each request got its complete answer. */
  @Then("every request got its complete answer")
  public void allAnswersComplete() {
    if (load == null) {
      throw new IllegalStateException("the scenario has started no load");
    }
    LoadReport report = load.stop();
    assertThat(report.count()).isGreaterThan(0L);
    assertWithMessage(report.outcomes().toString()).that(report.wrongAnswers()).isEqualTo(0);
  }

  /** Checks the exit codes of the restarted entries. */
  @Then("every stopped entry exited with code 0")
  public void allExitCodesAreZero() {
    assertThat(exitCodes).containsExactlyElementsIn(exitCodes.stream().map(code -> 0).toList());
  }

  private FakeEndpoint endpoint(int number) {
    return world.fleet().endpoints().get(number - 1);
  }

  private long startedByOthers(int endpoint) {
    return world.fleet().endpoints().stream()
        .filter(other -> other != endpoint(endpoint))
        .mapToLong(FakeEndpoint::started)
        .sum();
  }
}
