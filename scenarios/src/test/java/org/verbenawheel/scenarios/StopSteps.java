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

/** Steps in which endpoints leave and entries stop while callers go on asking. */
public final class StopSteps {
  private static final Duration LEAVE_BOUND = Duration.ofSeconds(3);
  private static final Duration WATCH = Duration.ofSeconds(3);
  private static final int CONCURRENCY = 9;

  private final DeploymentWorld world;
  private final List<Integer> exitCodes = new ArrayList<>();
  private @Nullable BackgroundLoad load;
  private @Nullable FakeBalancer balancer;
  private long startedAtBound;
  private long othersAtBound;

  /** Made for each scenario. */
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

  /** Begins a load through all entries in turns. */
  @Given("callers ask quotes of service {string} through all entries all the time")
  public void loadAllEntries(String service) {
    load =
        new BackgroundLoad(
            CONCURRENCY,
            number -> world.callers().get(number % world.entryCount()),
            number -> DeploymentWorld.quote(service, 5),
            DeploymentWorld::isOwnWholeAnswer,
            Duration.ofSeconds(6));
  }

  /** Begins a load through whichever entries are ready. */
  @Given(
      "callers ask quotes of {int} milliseconds of service {string} through a balancer all the time")
  public void loadThroughBalancer(int milliseconds, String service) {
    FakeBalancer started = new FakeBalancer(world.callers());
    balancer = started;
    load =
        new BackgroundLoad(
            CONCURRENCY,
            number -> started.next(),
            number -> DeploymentWorld.quote(service, milliseconds),
            DeploymentWorld::isOwnWholeAnswer,
            DeploymentWorld.ANSWER_TIMEOUT);
  }

  /** Lets an endpoint leave and kills the entry that it told. */
  @When("endpoint {int} says that it leaves and the entry that heard it is killed at once")
  public void leaveAndKill(int endpoint) {
    String heard = world.fleet().leave(endpoint);
    world.deployment().entries().stream()
        .filter(entry -> entry.httpAddress().equals(heard))
        .forEach(LocalProcess::kill);
    boolean unused = Waiting.until(() -> false, LEAVE_BOUND);
    startedAtBound = endpoint(endpoint).started();
    othersAtBound = startedByOthers(endpoint);
  }

  /** Watches that a departed endpoint gets nothing more. */
  @Then("endpoint {int} receives no new work from 3 seconds later on")
  public void receivesNothing(int endpoint) {
    boolean more = Waiting.until(() -> endpoint(endpoint).started() > startedAtBound, WATCH);
    assertThat(more).isFalse();
  }

  /** Checks that the load went on. */
  @Then("the other endpoints go on receiving work")
  public void othersGoOn() {
    boolean more =
        Waiting.until(() -> startedByOthers(1) > othersAtBound, DeploymentWorld.PATIENCE);
    assertThat(more).isTrue();
  }

  /** Restarts the entries in turns. */
  @When("every entry is stopped in order and started again, one after the other")
  public void rollingRestart() throws IOException {
    for (LocalProcess entry : world.deployment().entries()) {
      entry.terminate();
      assertThat(entry.awaitExit(DeploymentWorld.PATIENCE)).isTrue();
      exitCodes.add(entry.exitCode());
      entry.start();
      world.deployment().awaitReady(entry);
    }
  }

  /** Checks that each request got its whole answer. */
  @Then("no request was cut off")
  public void nothingCutOff() {
    if (load == null) {
      throw new IllegalStateException("no load runs");
    }
    LoadReport report = load.stop();
    assertThat(report.count()).isGreaterThan(0L);
    assertWithMessage(report.outcomes().toString()).that(report.wrongAnswers()).isEqualTo(0);
  }

  /** Checks the exit codes. */
  @Then("every entry that stopped ended with exit code 0")
  public void exitedInOrder() {
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
