package org.verbenawheel.scenarios;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.io.MoreFiles;
import com.google.common.io.RecursiveDeleteOption;
import io.cucumber.java.After;
import io.cucumber.java.Scenario;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import java.util.Random;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import org.verbenawheel.configuration.Configuration;
import org.verbenawheel.configuration.PoolRole;
import org.verbenawheel.configuration.PoolSettings;
import org.verbenawheel.configuration.ServiceSettings;
import org.verbenawheel.fake.FakeFleet;
import org.verbenawheel.identity.AvailabilityZone;
import org.verbenawheel.identity.PoolName;
import org.verbenawheel.identity.ServiceName;
import org.verbenawheel.load.CallerClient;
import org.verbenawheel.load.CallerResult;
import org.verbenawheel.load.LoadRequest;
import org.verbenawheel.local.LocalDeployment;
import org.verbenawheel.local.LocalProcess;
import org.verbenawheel.local.Waiting;
import org.verbenawheel.request.IdempotencyKey;

/**
 * State shared by the steps of one scenario: the deployment, the fake endpoints and the callers.
 */
public final class DeploymentWorld {
  static final Duration STEP_TIMEOUT = Duration.ofSeconds(90);
  static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(20);

  private static final long SEED = 20261204;
  private static final int CONNECTIONS = 400;
  private static final int MINIMUM_HOSTS = 1;
  private static final int MAXIMUM_HOSTS = 9;

  private final Random random = new Random(SEED);
  private final InstantSource clock = InstantSource.system();
  private @Nullable LocalDeployment deployment;
  private @Nullable FakeFleet fleet;
  private ImmutableList<CallerClient> callers = ImmutableList.of();

  /** Starts the deployment, one caller for each entry, and a fleet without endpoints. */
  void start(int entries, int controls) throws IOException {
    Path folder = Files.createTempDirectory("verbenawheel-scenario");
    LocalDeployment started =
        LocalDeployment.start(folder, entries, controls, configuration(Optional.empty()));
    deployment = started;
    callers =
        started.entryAddresses().stream()
            .map(address -> new CallerClient(address, CONNECTIONS))
            .collect(ImmutableList.toImmutableList());
    fleet =
        new FakeFleet(
            started.entryAddresses(),
            LocalDeployment.availabilityZones().stream()
                .map(AvailabilityZone::new)
                .collect(ImmutableList.toImmutableList()));
  }

  /** Stops all processes of the scenario; keeps their logs if the scenario failed. */
  @After
  public void stop(Scenario scenario) throws IOException {
    callers.forEach(CallerClient::close);
    if (fleet != null) {
      fleet.close();
    }
    if (deployment == null) {
      return;
    }
    deployment.close();
    if (scenario.isFailed()) {
      scenario.log("logs of the processes: " + deployment.folder());
    } else {
      MoreFiles.deleteRecursively(deployment.folder(), RecursiveDeleteOption.ALLOW_INSECURE);
    }
  }

  /** Starts endpoints and waits until every entry routes to the service. */
  void addEndpoints(String service, int count) throws IOException {
    fleet().add(new ServiceName(service), count);
    for (int entry = 1; entry <= callers.size(); entry++) {
      awaitServed(service, entry);
    }
  }

  /** Waits until an entry has every endpoint in its view and serves the service. */
  void awaitServed(String service, int entry) {
    String allEndpoints = "\"endpoints\":" + fleet().endpoints().size() + ",";
    boolean served =
        Waiting.until(
            () -> {
              Optional<String> dump =
                  deployment().operatorClient().dump(entry(entry).httpAddress());
              return dump.filter(text -> text.contains(allEndpoints)).isPresent()
                  && caller(entry).send(quote(service, 0), ANSWER_TIMEOUT).join().status() == 200;
            },
            STEP_TIMEOUT);
    if (!served) {
      throw new AssertionError("entry " + entry + " does not serve " + service);
    }
  }

  LocalDeployment deployment() {
    if (deployment == null) {
      throw new IllegalStateException("the scenario has no deployment yet");
    }
    return deployment;
  }

  FakeFleet fleet() {
    if (fleet == null) {
      throw new IllegalStateException("the scenario has no deployment yet");
    }
    return fleet;
  }

  LocalProcess entry(int number) {
    return deployment().entries().get(number - 1);
  }

  int entryCount() {
    return callers.size();
  }

  CallerClient caller(int entry) {
    return callers.get(entry - 1);
  }

  ImmutableList<CallerClient> callers() {
    return callers;
  }

  /** Returns a new idempotency key. */
  synchronized IdempotencyKey newKey() {
    return IdempotencyKey.create(clock.instant(), random.nextLong());
  }

  static LoadRequest quote(String service, long workMilliseconds) {
    return LoadRequest.get("/service/" + service + "/quotes", workMilliseconds);
  }

  /** Returns whether an answer is the complete echo of its own request. */
  static boolean isCompleteOwnAnswer(LoadRequest request, CallerResult result) {
    return result.status() == 200
        && result.text().equals(result.endpoint().orElse("") + ":" + request.body().toText());
  }

  /** Returns the configuration of the scenarios, with one more service if given. */
  static Configuration configuration(Optional<String> extraService) {
    ImmutableMap.Builder<ServiceName, ServiceSettings> services = ImmutableMap.builder();
    ImmutableMap.Builder<PoolName, PoolSettings> pools = ImmutableMap.builder();
    Stream.concat(
            Stream.of("hobart-desk", "hobart-foundry", "launceston-desk"), extraService.stream())
        .forEach(
            name -> {
              PoolName pool = new PoolName(name);
              ServiceName service = new ServiceName(name);
              services.put(service, ServiceSettings.builder(service, pool).build());
              pools.put(
                  pool, new PoolSettings(pool, PoolRole.SERVING, MINIMUM_HOSTS, MAXIMUM_HOSTS));
            });
    return new Configuration("scenario", services.buildOrThrow(), pools.buildOrThrow());
  }
}
