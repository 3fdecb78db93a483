package org.verbenawheel.scenarios;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.When;
import java.io.IOException;
import java.util.Optional;
import org.verbenawheel.fake.FakeBehaviour;
import org.verbenawheel.fake.FakeEndpoint;
import org.verbenawheel.local.LocalProcess;
import org.verbenawheel.local.Waiting;

/** Steps that start the processes and endpoints of a deployment and inject faults into them. */
public final class DeploymentSteps {
  private final DeploymentWorld world;
  private Optional<LocalProcess> frozen = Optional.empty();

  /** Created by Cucumber for each scenario. */
  public DeploymentSteps(DeploymentWorld world) {
    this.world = world;
  }

  /** Starts the daemons and waits until every entry is ready. */
  @Given("a deployment of {int} entries and {int} control replicas")
  public void deployment(int entries, int controls) throws IOException {
    world.start(entries, controls);
  }

  /** Starts endpoints and waits until every entry routes to them. */
  @Given("{int} endpoints of service {string}")
  public void endpoints(int count, String service) throws IOException {
    world.addEndpoints(service, count);
  }

  /** Kills the first control replicas, whichever of them leads. */
  @When("{int} control replicas are killed")
  public void killControls(int count) {
    world.deployment().controls().subList(0, count).forEach(LocalProcess::kill);
  }

  /** Waits for a leader and kills it. */
  @When("the leader of the control replicas is killed")
  public void killLeader() {
    leader().kill();
  }

  /** Waits for a leader and freezes it. */
  @When("the leader of the control replicas is frozen")
  public void freezeLeader() throws IOException {
    LocalProcess leader = leader();
    leader.freeze();
    frozen = Optional.of(leader);
  }

  /** Resumes the replica that was frozen as leader. */
  @When("the frozen control replica is resumed")
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

  /** Resumes all control replicas. */
  @When("all control replicas are resumed")
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

  /** Makes all endpoints send less than the declared content length. */
  @When("all endpoints truncate their answers")
  public void cutAnswersShort() {
    for (FakeEndpoint endpoint : world.fleet().endpoints()) {
      endpoint.setBehaviour(FakeBehaviour.CUTS_ANSWERS_SHORT);
    }
  }

  /** Makes an endpoint answer every request with the verdict NOT_RUN. */
  @When("endpoint {int} refuses all requests without running them")
  public void refuseEverything(int number) {
    world.fleet().endpoints().get(number - 1).setBehaviour(FakeBehaviour.REFUSES_WITHOUT_RUNNING);
  }

  private LocalProcess leader() {
    boolean elected =
        Waiting.until(() -> world.deployment().leader().isPresent(), DeploymentWorld.STEP_TIMEOUT);
    if (!elected) {
      throw new AssertionError("no control replica became leader in time");
    }
    return world.deployment().leader().orElseThrow();
  }
}
