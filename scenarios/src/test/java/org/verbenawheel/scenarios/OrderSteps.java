package org.verbenawheel.scenarios;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ArrayListMultimap;
import com.google.common.collect.ListMultimap;
import com.google.common.collect.Multimaps;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.verbenawheel.fake.FakeEndpoint;
import org.verbenawheel.load.CallerClient;
import org.verbenawheel.load.CallerResult;
import org.verbenawheel.load.LoadRequest;
import org.verbenawheel.local.Waiting;
import org.verbenawheel.request.Body;
import org.verbenawheel.request.IdempotencyKey;
import org.verbenawheel.request.RunVerdict;

/** Steps that place orders, which must run at most once, and check how often they ran. */
public final class OrderSteps {
  private static final String SERVICE = "hobart-foundry";
  private static final Duration SHORT_TIMEOUT = Duration.ofMillis(100);

  private final DeploymentWorld world;
  private final LastAnswer lastAnswer;
  private final ListMultimap<LoadRequest, CallerResult> results =
      Multimaps.synchronizedListMultimap(ArrayListMultimap.create());
  private final List<LoadRequest> orders = new ArrayList<>();

  /** Created by Cucumber for each scenario. */
  public OrderSteps(DeploymentWorld world, LastAnswer lastAnswer) {
    this.world = world;
    this.lastAnswer = lastAnswer;
  }

  /** Sends an order directly to an endpoint, not through an entry, with a timeout of 100 ms. */
  @When("an order that takes {int} milliseconds is sent directly to endpoint {int} and times out")
  public void sendDirectlyAndTimeOut(int milliseconds, int endpoint) {
    LoadRequest order = newOrder(milliseconds, Optional.empty());
    sendDirectly(order, endpoint, SHORT_TIMEOUT);
  }

  /** Sends the last order directly to an endpoint, not through an entry. */
  @When("the same order is sent directly to endpoint {int}")
  public void sendSameDirectly(int endpoint) {
    sendDirectly(lastOrder(), endpoint, DeploymentWorld.ANSWER_TIMEOUT);
  }

  /** Sends an order without waiting for its answer. */
  @When("an order that takes {int} milliseconds is sent through entry {int}")
  public void sendSlowOrder(int milliseconds, int entry) {
    LoadRequest order = newOrder(milliseconds, Optional.empty());
    CompletableFuture<CallerResult> unused =
        world.caller(entry).send(order, DeploymentWorld.ANSWER_TIMEOUT);
  }

  /** Waits until an endpoint runs an order and kills an entry. */
  @When("entry {int} is killed once an endpoint runs the order")
  public void killEntryDuringOrder(int entry) {
    boolean runs =
        Waiting.until(
            () -> world.fleet().endpoints().stream().anyMatch(endpoint -> endpoint.running() > 0),
            DeploymentWorld.STEP_TIMEOUT);
    assertThat(runs).isTrue();
    world.entry(entry).kill();
  }

  /** Sends the last order again. */
  @When("the same order is sent through entry {int}")
  public void sendSameOrder(int entry) {
    send(lastOrder(), entry);
  }

  /** Sends one order and waits for its answer. */
  @When("an order is sent through entry {int}")
  public void sendOrder(int entry) {
    send(newOrder(1, Optional.empty()), entry);
  }

  /** Sends each order through all entries concurrently. */
  @When("{int} orders are each sent through all entries at once")
  public void raceOrders(int count) {
    List<CompletableFuture<?>> sent = new ArrayList<>();
    for (int number = 0; number < count; number++) {
      LoadRequest order = newOrder(20, Optional.empty());
      for (CallerClient caller : world.callers()) {
        sent.add(sendThrough(caller, order));
      }
    }
    CompletableFuture.allOf(sent.toArray(new CompletableFuture<?>[0])).join();
  }

  /** Sends orders one after the other; resends each without status 200 through the next entry. */
  @When("{int} orders are each sent through one entry and, without an answer, through the next")
  public void sendAndResend(int count) {
    for (int number = 0; number < count; number++) {
      LoadRequest order = newOrder(5, Optional.of(Duration.ofSeconds(4)));
      int entry = number % world.entryCount();
      send(order, entry + 1);
      if (lastAnswer.get().status() != 200) {
        send(order, (entry + 1) % world.entryCount() + 1);
      }
    }
  }

  /** Sends orders concurrently and kills the leader halfway. */
  @When(
      "{int} orders are each sent through one entry while the leader of the control replicas is"
          + " killed")
  public void sendWhileLeaderDies(int count) {
    List<CompletableFuture<?>> sent = new ArrayList<>();
    for (int number = 0; number < count; number++) {
      LoadRequest order = newOrder(5, Optional.of(Duration.ofSeconds(4)));
      sent.add(sendThrough(world.caller(number % world.entryCount() + 1), order));
      if (number == count / 2) {
        world.deployment().leader().orElseThrow().kill();
      }
    }
    CompletableFuture.allOf(sent.toArray(new CompletableFuture<?>[0])).join();
  }

  /** Sends more orders at once than the service can run. */
  @When(
      "{int} orders that take {int} milliseconds are sent at once with a deadline of {int}"
          + " milliseconds")
  public void sendTooMany(int count, int milliseconds, int deadlineMilliseconds) {
    List<CompletableFuture<?>> sent = new ArrayList<>();
    for (int number = 0; number < count; number++) {
      LoadRequest order =
          newOrder(milliseconds, Optional.of(Duration.ofMillis(deadlineMilliseconds)));
      sent.add(sendThrough(world.caller(number % world.entryCount() + 1), order));
    }
    CompletableFuture.allOf(sent.toArray(new CompletableFuture<?>[0])).join();
  }

  /** Waits up to 10 s for this number of runs, then checks that the order ran no more often. */
  @Then("the order ran {int} times")
  public void ranTimes(int times) {
    boolean ranOftenEnough =
        Waiting.until(() -> runs(lastOrder()) >= times, Duration.ofSeconds(10));
    assertThat(ranOftenEnough).isTrue();
    assertThat(runs(lastOrder())).isEqualTo(times);
  }

  /** Checks the answer of an order resent after its first entry died. */
  @Then("the last answer was the result of the order or had verdict MAY_HAVE_RUN")
  public void firstAnswerOrMayHaveRun() {
    CallerResult answer = lastAnswer.get();
    boolean ownAnswer = DeploymentWorld.isCompleteOwnAnswer(lastOrder(), answer);
    boolean mayHaveRun = answer.verdict().equals(Optional.of(RunVerdict.MAY_HAVE_RUN.name()));
    assertWithMessage(answer.text()).that(ownAnswer || mayHaveRun).isTrue();
  }

  /** Checks that each order ran once. */
  @Then("each order ran exactly once")
  public void eachRanOnce() {
    orders.forEach(order -> assertThat(runs(order)).isEqualTo(1));
  }

  /** Checks that no order ran twice. */
  @Then("no order ran twice")
  public void noneRanTwice() {
    orders.forEach(order -> assertThat(runs(order)).isAtMost(1));
  }

  /** Checks that each order answered with status 200 ran once. */
  @Then("each answered order ran exactly once")
  public void eachAnsweredRanOnce() {
    results.forEach(
        (order, result) -> {
          if (result.status() == 200) {
            assertThat(runs(order)).isEqualTo(1);
          }
        });
  }

  /** Checks that every caller of an order got the complete answer of its only run. */
  @Then("all answers to one order were complete and the same")
  public void oneAnswerEach() {
    for (LoadRequest order : orders) {
      String firstText = results.get(order).get(0).text();
      for (CallerResult result : results.get(order)) {
        assertThat(DeploymentWorld.isCompleteOwnAnswer(order, result)).isTrue();
        assertThat(result.text()).isEqualTo(firstText);
      }
    }
  }

  /** Checks that the load exceeded the capacity of the service. */
  @Then("some orders were refused as NOT_RUN")
  public void someRefused() {
    assertThat(results.values().stream().filter(OrderSteps::isRefusedAsNotRun).count())
        .isGreaterThan(0L);
  }

  /** Checks that no order with the verdict NOT_RUN was run. */
  @Then("no order refused as NOT_RUN was run")
  public void noneRanThatWasRefused() {
    results.forEach(
        (order, result) -> {
          if (isRefusedAsNotRun(result)) {
            assertThat(runs(order)).isEqualTo(0);
          }
        });
  }

  private static boolean isRefusedAsNotRun(CallerResult result) {
    return result.verdict().equals(Optional.of(RunVerdict.NOT_RUN.name()));
  }

  private void sendDirectly(LoadRequest order, int endpoint, Duration timeout) {
    String address = world.fleet().endpoints().get(endpoint - 1).address();
    try (CallerClient caller = new CallerClient(address, 1)) {
      lastAnswer.set(caller.send(order, timeout).join());
    }
  }

  private void send(LoadRequest order, int entry) {
    sendThrough(world.caller(entry), order).join();
  }

  private CompletableFuture<Void> sendThrough(CallerClient caller, LoadRequest order) {
    return caller
        .send(order, DeploymentWorld.ANSWER_TIMEOUT)
        .thenAccept(
            result -> {
              results.put(order, result);
              lastAnswer.set(result);
            });
  }

  private LoadRequest newOrder(long workMilliseconds, Optional<Duration> deadline) {
    IdempotencyKey key = world.newKey();
    LoadRequest order =
        LoadRequest.post(
            "/service/" + SERVICE + "/orders", key, Body.ofText("order " + key), workMilliseconds);
    LoadRequest withDeadline = deadline.map(order::withDeadline).orElse(order);
    orders.add(withDeadline);
    return withDeadline;
  }

  private LoadRequest lastOrder() {
    return orders.get(orders.size() - 1);
  }

  private int runs(LoadRequest order) {
    String key = order.key().orElseThrow().value();
    return world.fleet().endpoints().stream()
        .map(FakeEndpoint::runsByKey)
        .mapToInt(runs -> runs.getOrDefault(key, 0))
        .sum();
  }
}
