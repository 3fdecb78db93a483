package org.verbenawheel.scenarios;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableList;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.verbenawheel.configuration.Configuration;
import org.verbenawheel.load.CallerResult;
import org.verbenawheel.local.OperatorClient;
import org.verbenawheel.local.OperatorClient.Reply;
import org.verbenawheel.local.Waiting;
import org.verbenawheel.request.RunVerdict;

/** Steps in which operators change configurations and pools, and checks of the result. */
public final class OperatorSteps {
  private static final Pattern CONFIGURATION_VERSION =
      Pattern.compile("\"configuration\":\\{\"version\":(\\d+),\"inForce\":(true|false)");
  private static final Pattern POOL_OF_HOST = Pattern.compile("\"pool\":\"([^\"]+)\"");

  private final DeploymentWorld world;
  private final List<Reply> replies = Collections.synchronizedList(new ArrayList<>());

  /** Created by Cucumber for each scenario. */
  public OperatorSteps(DeploymentWorld world) {
    this.world = world;
  }

  /** Applies a configuration with one more service. */
  @When("an operator adds a service {string} to the configuration")
  public void addService(String service) {
    Reply reply = operators().applyConfiguration(1, withService(service));
    assertWithMessage(reply.body()).that(reply.accepted()).isTrue();
  }

  /** Applies a configuration under a given command id. */
  @When("an operator applies a configuration as command {string}")
  public void applyAs(String commandId) {
    replies.add(operators().applyConfiguration(commandId, 1, withService("night-reports")));
  }

  /** Resends a command until a leader accepts it or reports a conflict. */
  @When("the operator resends command {string}")
  public void resend(String commandId) {
    List<Reply> answers = new ArrayList<>();
    boolean answered =
        Waiting.until(
            () -> {
              Reply reply =
                  operators().applyConfiguration(commandId, 1, withService("night-reports"));
              answers.add(reply);
              return reply.status() == 200 || reply.status() == 409;
            },
            DeploymentWorld.STEP_TIMEOUT);
    assertThat(answered).isTrue();
    replies.add(answers.get(answers.size() - 1));
  }

  /** Applies two configurations to the same version concurrently. */
  @When("two operators apply different configurations to version 1 at once")
  public void raceConfigurations() {
    race(
        () -> operators().applyConfiguration("race-a", 1, withService("night-reports")),
        () -> operators().applyConfiguration("race-b", 1, withService("day-reports")));
  }

  /** Registers a host; retries until a leader accepts it. */
  @Given("a host {string} in pool {string}")
  public void registerHost(String host, String pool) {
    String body =
        String.format(
            "{\"commandId\":\"register-%s\",\"host\":\"%s\",\"rack\":\"r1\","
                + "\"availabilityZone\":\"tamar\",\"region\":\"tasmania\",\"processors\":32,"
                + "\"memoryMebibytes\":65536,\"accelerators\":0,\"pool\":\"%s\","
                + "\"condition\":\"IN_SERVICE\"}",
            host, host, pool);
    List<Reply> answers = new ArrayList<>();
    boolean registered =
        Waiting.until(
            () -> {
              answers.add(operators().command("register-host", body));
              return answers.get(answers.size() - 1).accepted();
            },
            Duration.ofSeconds(20));
    assertWithMessage(answers.get(answers.size() - 1).body()).that(registered).isTrue();
  }

  /** Starts two moves of one host at the same version concurrently. */
  @When("two operators move host {string} to {string} and to {string} at once")
  public void raceMoves(String host, String firstPool, String secondPool) {
    long version = hostVersion(host);
    race(
        () -> operators().command("move-host", move(host, firstPool, version)),
        () -> operators().command("move-host", move(host, secondPool, version)));
  }

  /** Checks that one of two commands was accepted and the other refused with a conflict. */
  @Then("one of them is accepted and the other gets a conflict")
  public void oneIsAccepted() {
    assertThat(ImmutableList.of(replies.get(0).status(), replies.get(1).status()))
        .containsExactly(200, 409);
  }

  /** Checks that the resent command got the reply of the first one. */
  @Then("both replies are the same")
  public void sameReplies() {
    assertThat(replies.get(0).status()).isEqualTo(200);
    assertThat(replies.get(1)).isEqualTo(replies.get(0));
  }

  /** Checks the configuration of all entries. */
  @Then("every entry has configuration version {int} in force within {int} seconds")
  public void everyEntryHas(int version, int seconds) {
    for (int entry = 1; entry <= world.entryCount(); entry++) {
      entryHas(entry, version, seconds);
    }
  }

  /**
   * Waits until an entry has a configuration version in force, with a longer limit if the entry is
   * still starting, and checks that the versions seen never decreased.
   */
  @Then("entry {int} has configuration version {int} in force within {int} seconds")
  public void entryHas(int entry, int version, int seconds) {
    List<Long> seen = new ArrayList<>();
    boolean inForce =
        Waiting.until(
            () -> {
              Optional<Long> present = versionInForce(entry);
              present.ifPresent(seen::add);
              return present.equals(Optional.of((long) version));
            },
            isStarting(entry) ? DeploymentWorld.STEP_TIMEOUT : Duration.ofSeconds(seconds));
    assertWithMessage("versions seen: " + seen).that(inForce).isTrue();
    assertThat(seen).isInOrder();
  }

  /** Checks that a restarted entry still has version 2 in force. */
  @Then("entry {int} never reported an earlier version after its start")
  public void neverEarlier(int entry) {
    assertThat(versionInForce(entry)).isEqualTo(Optional.of(2L));
  }

  /** Checks that entries refuse requests once they cannot confirm their configuration. */
  @Then("every entry refuses quotes of service {string} as NOT_RUN within {int} seconds")
  public void everyEntryRefuses(String service, int seconds) {
    for (int entry = 1; entry <= world.entryCount(); entry++) {
      int number = entry;
      boolean refuses =
          Waiting.until(
              () -> {
                CallerResult answer = quote(service, number);
                return answer.status() == 503
                    && answer.verdict().equals(Optional.of(RunVerdict.NOT_RUN.name()))
                    && answer.text().contains("CONFIGURATION_STALE");
              },
              Duration.ofSeconds(seconds));
      assertWithMessage("entry " + entry).that(refuses).isTrue();
    }
  }

  /** Checks that entries serve once their configuration is confirmed again. */
  @Then("every entry serves quotes of service {string} again")
  public void everyEntryServes(String service) {
    for (int entry = 1; entry <= world.entryCount(); entry++) {
      int number = entry;
      boolean serves =
          Waiting.until(() -> quote(service, number).status() == 200, DeploymentWorld.STEP_TIMEOUT);
      assertWithMessage("entry " + entry).that(serves).isTrue();
    }
  }

  /** Checks that the list of hosts shows a host once, in one pool. */
  @Then("host {string} is listed in exactly one pool")
  public void listedOnce(String host) {
    List<Reply> answers = new ArrayList<>();
    boolean read =
        Waiting.until(
            () -> {
              answers.add(operators().read("/v1/hosts"));
              return answers.get(answers.size() - 1).status() == 200;
            },
            DeploymentWorld.STEP_TIMEOUT);
    assertThat(read).isTrue();
    String hosts = answers.get(answers.size() - 1).body();
    assertThat(hosts.split(Pattern.quote("\"host\":\"" + host + "\""), -1)).hasLength(2);
    assertThat(POOL_OF_HOST.matcher(hosts).results().count()).isEqualTo(1);
  }

  private void race(Supplier<Reply> first, Supplier<Reply> second) {
    CompletableFuture<Reply> one = CompletableFuture.supplyAsync(first);
    CompletableFuture<Reply> two = CompletableFuture.supplyAsync(second);
    replies.add(one.join());
    replies.add(two.join());
  }

  private boolean isStarting(int entry) {
    return versionInForce(entry).isEmpty();
  }

  private Optional<Long> versionInForce(int entry) {
    return operators()
        .dump(world.entry(entry).httpAddress())
        .map(CONFIGURATION_VERSION::matcher)
        .filter(Matcher::find)
        .filter(found -> found.group(2).equals("true"))
        .map(found -> Long.parseLong(found.group(1)));
  }

  private long hostVersion(String host) {
    Pattern version = Pattern.compile("\"host\":\"" + host + "\".*?\"version\":(\\d+)");
    Matcher found = version.matcher(operators().read("/v1/hosts").body());
    assertThat(found.find()).isTrue();
    return Long.parseLong(found.group(1));
  }

  private static String move(String host, String target, long version) {
    return String.format(
        "{\"commandId\":\"move-%s-%s\",\"host\":\"%s\",\"target\":\"%s\",\"expectedVersion\":%d}",
        host, target, host, target, version);
  }

  private CallerResult quote(String service, int entry) {
    return world
        .caller(entry)
        .send(DeploymentWorld.quote(service, 0), DeploymentWorld.ANSWER_TIMEOUT)
        .join();
  }

  private OperatorClient operators() {
    return world.deployment().operatorClient();
  }

  private static Configuration withService(String service) {
    return DeploymentWorld.configuration(Optional.of(service));
  }
}
