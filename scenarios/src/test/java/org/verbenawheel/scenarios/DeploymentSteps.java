package org.verbenawheel.scenarios;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.When;
import java.io.IOException;
import java.util.Optional;
import org.verbenawheel.fake.FakeBehaviour;
import org.verbenawheel.fake.FakeEndpoint;
import org.verbenawheel.local.LocalProcess;
import org.verbenawheel.local.Waiting;

/** Steps that start processes and make them fail. */
public final class DeploymentSteps {
  private final DeploymentWorld world;
  private Optional<LocalProcess> frozen = Optional.empty();

  /** Made for each scenario. */
  public DeploymentSteps(DeploymentWorld world) {
    this.world = world;
  }

  /** Starts the daemons. */
  @Given("a deployment of {int} entries and {int} control replicas")
  public void deployment(int entries, int controls) throws IOException {
    world.start(entries, controls);
  }

  /** Starts endpoints. */
  @Given("{int} endpoints of service {string}")
  public void endpoints(int count, String service) throws IOException {
    world.addEndpoints(service, count);
  }

  /** Kills control replicas. */
  @When("{int} control replicas are killed")
  public void killControls(int count) {
    world.deployment().controls().subList(0, count).forEach(LocalProcess::kill);
  }

  /** Kills the leader. */
  @When("the leader of the control replicas is killed")
  public void killLeader() {
    leader().kill();
  }

  /** Freezes the leader. */
  @When("the leader of the control replicas is frozen")
  public void freezeLeader() throws IOException {
    LocalProcess leader = leader();
    leader.freeze();
    frozen = Optional.of(leader);
  }

  /** Lets the frozen leader go on. */
  @When("the frozen control replica goes on")
  public void resumeLeader() throws IOException {
    frozen.orElseThrow().resume();
  }

  /** Freezes all control replicas. */
  @When("all control replicas are frozen")
  public void freezeControls() throws IOException {
    for (LocalProcess control : world.deployment().controls()) {
      control.freeze();
    }
  }

  /** Lets all control replicas go on. */
  @When("all control replicas go on")
  public void resumeControls() throws IOException {
    for (LocalProcess control : world.deployment().controls()) {
      control.resume();
    }
  }

  /** Kills an entry and starts it again. */
  @When("entry {int} is killed and started again")
  public void restartEntry(int number) throws IOException {
    world.entry(number).kill();
    world.entry(number).start();
  }

  /** Makes all endpoints cut their answers short. */
  @When("all endpoints cut their answers short")
  public void cutAnswersShort() {
    for (FakeEndpoint endpoint : world.fleet().endpoints()) {
      endpoint.setBehaviour(FakeBehaviour.CUTS_ANSWERS_SHORT);
    }
  }

  /** Makes an endpoint refuse everything. */
  @When("endpoint {int} refuses everything without running it")
  public void refuseEverything(int number) {
    world.fleet().endpoints().get(number - 1).setBehaviour(FakeBehaviour.REFUSES_WITHOUT_RUNNING);
  }

  private LocalProcess leader() {
    boolean elected =
        Waiting.until(() -> world.deployment().leader().isPresent(), DeploymentWorld.PATIENCE);
    if (!elected) {
      throw new AssertionError("no control replica leads");
    }
    return world.deployment().leader().orElseThrow();
  }
}
