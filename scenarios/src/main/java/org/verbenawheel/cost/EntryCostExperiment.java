package org.verbenawheel.cost;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.io.MoreFiles;
import com.google.common.io.RecursiveDeleteOption;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Locale;
import java.util.Optional;
import java.util.Random;
import java.util.function.IntFunction;
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
import org.verbenawheel.load.ClosedLoop;
import org.verbenawheel.load.LoadReport;
import org.verbenawheel.load.LoadRequest;
import org.verbenawheel.local.LocalDeployment;
import org.verbenawheel.local.LocalProcess;
import org.verbenawheel.local.Waiting;
import org.verbenawheel.request.Body;
import org.verbenawheel.request.IdempotencyKey;

/**
 * Compares requests through one entry with direct calls to a fake endpoint, in alternation within
 * one run, and prints the processor time and memory of the processes.
 */
public final class EntryCostExperiment {
  private static final ServiceName SERVICE = new ServiceName("hobart-desk");
  private static final int ENTRIES = 3;
  private static final int CONTROLS = 3;
  private static final int ENDPOINTS = 4;
  private static final int CONCURRENCY = 8;
  private static final int REQUESTS = 5_000;
  private static final int ROUNDS = 3;
  private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(20);
  private static final Duration START_TIMEOUT = Duration.ofSeconds(60);
  private static final Duration IDLE_TIME = Duration.ofSeconds(10);
  private static final double MEDIAN = 50;
  private static final double NINETY_NINTH = 99;

  private final LocalDeployment deployment;
  private final FakeFleet fleet;
  private final PrintStream out;
  private final Random random = new Random(1);

  private EntryCostExperiment(LocalDeployment deployment, FakeFleet fleet, PrintStream out) {
    this.deployment = deployment;
    this.fleet = fleet;
    this.out = out;
  }

  /**
   * Runs the experiment and prints its tables to standard output.
   *
   * @param arguments not used
   * @throws IOException if a process cannot be started
   */
  public static void main(String[] arguments) throws IOException {
    Path folder = Files.createTempDirectory("verbenawheel-cost");
    try (LocalDeployment deployment =
            LocalDeployment.start(folder, ENTRIES, CONTROLS, configuration());
        FakeFleet fleet = newFleet(deployment)) {
      new EntryCostExperiment(deployment, fleet, System.out).run();
    } finally {
      MoreFiles.deleteRecursively(folder, RecursiveDeleteOption.ALLOW_INSECURE);
    }
  }

  private void run() {
    try (CallerClient direct = new CallerClient(fleet.endpoints().get(0).address(), CONCURRENCY);
        CallerClient entry = new CallerClient(deployment.entryAddresses().get(0), CONCURRENCY)) {
      awaitServed(entry);
      out.println("way              requests/s   p50 ms   p99 ms   wrong   entry CPU us/request");
      for (int round = 1; round <= ROUNDS; round++) {
        measure("direct quotes", direct, number -> quote("/quotes", number));
        measure("entry quotes", entry, number -> quote("/service/" + SERVICE + "/quotes", number));
        measure("direct orders", direct, number -> order("/orders", number));
        measure("entry orders", entry, number -> order("/service/" + SERVICE + "/orders", number));
      }
    }
    measureIdle();
  }

  private void awaitServed(CallerClient entry) {
    boolean served =
        Waiting.until(
            () ->
                fleet.allLeasesGranted()
                    && entry
                            .send(quote("/service/" + SERVICE + "/quotes", 0), ANSWER_TIMEOUT)
                            .join()
                            .status()
                        == 200,
            START_TIMEOUT);
    if (!served) {
      throw new IllegalStateException("the entry did not serve in time: " + SERVICE);
    }
  }

  private void measure(String label, CallerClient caller, IntFunction<LoadRequest> requests) {
    LocalProcess entry = deployment.entries().get(0);
    Duration processorBefore = entry.processorTime();
    long startedAt = System.nanoTime();
    LoadReport report =
        new ClosedLoop(
                ImmutableList.of(caller), requests, EntryCostExperiment::isCorrect, ANSWER_TIMEOUT)
            .run(REQUESTS, CONCURRENCY);
    double seconds = (System.nanoTime() - startedAt) / 1e9;
    double processorMicroseconds =
        entry.processorTime().minus(processorBefore).toNanos() / 1e3 / REQUESTS;
    out.println(
        String.format(
            Locale.ROOT,
            "%-16s %10.0f %8.2f %8.2f %7d %8.0f",
            label,
            REQUESTS / seconds,
            report.latencyMilliseconds(MEDIAN),
            report.latencyMilliseconds(NINETY_NINTH),
            report.wrongAnswers(),
            processorMicroseconds));
  }

  private void measureIdle() {
    out.println();
    out.println("process      idle core %   resident MiB");
    ImmutableList<LocalProcess> processes =
        ImmutableList.<LocalProcess>builder()
            .addAll(deployment.entries())
            .addAll(deployment.controls())
            .build();
    ImmutableMap.Builder<LocalProcess, Duration> before = ImmutableMap.builder();
    processes.forEach(process -> before.put(process, process.processorTime()));
    boolean unused = Waiting.until(() -> false, IDLE_TIME);
    before
        .buildOrThrow()
        .forEach(
            (process, processorTimeBefore) ->
                out.println(
                    String.format(
                        Locale.ROOT,
                        "%-12s %11.2f %14d",
                        process.name(),
                        100.0
                            * process.processorTime().minus(processorTimeBefore).toNanos()
                            / IDLE_TIME.toNanos(),
                        process.residentMebibytes())));
  }

  private LoadRequest quote(String path, int number) {
    return new LoadRequest(
        "PUT", path, Body.ofText("quote " + number), Optional.empty(), Optional.empty(), 0);
  }

  private LoadRequest order(String path, int number) {
    IdempotencyKey key = IdempotencyKey.create(InstantSource.system().instant(), nextRandomBits());
    return LoadRequest.post(path, key, Body.ofText("order " + number), 0);
  }

  private synchronized long nextRandomBits() {
    return random.nextLong();
  }

  private static boolean isCorrect(LoadRequest request, CallerResult result) {
    return result.status() == 200 && result.text().endsWith(":" + request.body().toText());
  }

  private static FakeFleet newFleet(LocalDeployment deployment) throws IOException {
    FakeFleet fleet =
        new FakeFleet(deployment.entryAddresses(), ImmutableList.of(new AvailabilityZone("tamar")));
    fleet.add(SERVICE, ENDPOINTS);
    return fleet;
  }

  private static Configuration configuration() {
    PoolName pool = new PoolName(SERVICE.value());
    return new Configuration(
        "cost",
        ImmutableMap.of(SERVICE, ServiceSettings.builder(SERVICE, pool).build()),
        ImmutableMap.of(pool, new PoolSettings(pool, PoolRole.SERVING, 1, ENDPOINTS)));
  }
}
