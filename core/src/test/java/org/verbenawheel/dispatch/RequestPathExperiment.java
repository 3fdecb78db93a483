package org.verbenawheel.dispatch;

import com.google.errorprone.annotations.FormatMethod;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import org.verbenawheel.admission.QueueOrder;
import org.verbenawheel.configuration.ServiceSettings;
import org.verbenawheel.dispatch.FakeEndpoints.Fault;
import org.verbenawheel.request.CallerOutcome;
import org.verbenawheel.request.CallerRequest;

/**
 * Prints the figures of docs/design/request-path.md, in virtual time and from fixed seeds.
 *
 * <p>It is no test: its name keeps it out of a plain build. Run it with {@code mvn -pl core test
 * -Dtest=RequestPathExperiment}.
 */
final class RequestPathExperiment {
  private static final int ENTRIES = 7;
  private static final int ENDPOINTS = 8;
  private static final int SLOTS = ENDPOINTS * TestDeployment.SLOTS;
  private static final double MEAN_SHORT_RUN_SECONDS = 0.040;
  private static final double CAPACITY_PER_SECOND = SLOTS / MEAN_SHORT_RUN_SECONDS;
  private static final ServiceSettings SETTINGS = TestDeployment.settings().build();

  @Test
  void queueOrders() {
    print(
        "order | bound | deadlines | answered in time | wait p50 ms | wait p99 ms"
            + " | attempts in vain");
    for (boolean mixedDeadlines : List.of(false, true)) {
      for (QueueOrder order : QueueOrder.values()) {
        queueOrder(order, 8_192, mixedDeadlines, true);
      }
      queueOrder(QueueOrder.FIRST_COME, 512, mixedDeadlines, true);
      queueOrder(QueueOrder.FIRST_COME, 0, mixedDeadlines, false);
    }
  }

  private static void queueOrder(
      QueueOrder order, int bound, boolean mixedDeadlines, boolean chosen) {
    ServiceSettings settings = TestDeployment.settings().queueLimit(bound).build();
    Run run = new Run(1, ENDPOINTS, order, settings, chosen);
    double mean = 0.35 * CAPACITY_PER_SECOND;
    for (int turn = 0; turn < 4; turn++) {
      call(run, mean / 20, Duration.ofSeconds(6), mixedDeadlines);
      run.pass(Duration.ofSeconds(6));
      call(run, mean * 5, Duration.ofSeconds(4), mixedDeadlines);
      run.pass(Duration.ofSeconds(4));
    }
    run.pass(Duration.ofSeconds(10));
    long answered = run.load.count(Load.Call::isAnswered);
    print(
        "%s | %d | %s | %.3f | %.1f | %.1f | %d",
        chosen ? order : "naive",
        bound,
        mixedDeadlines ? "0.3 s and 3 s" : "2 s",
        run.load.answeredShare(),
        run.load.waitPercentile(0.5, call -> true),
        run.load.waitPercentile(0.99, call -> true),
        run.deployment.endpoints.attempts() - answered);
  }

  private static void call(Run run, double perSecond, Duration duration, boolean mixedDeadlines) {
    if (!mixedDeadlines) {
      run.load.call(perSecond, duration, Duration.ofSeconds(2), RequestPathExperiment::quote);
      return;
    }
    run.load.call(perSecond / 2, duration, Duration.ofMillis(300), RequestPathExperiment::quote);
    run.load.call(perSecond / 2, duration, Duration.ofSeconds(3), RequestPathExperiment::quote);
  }

  @Test
  void stragglers() {
    print(
        "way | load | stragglers | short wait p50 ms | short wait p99 ms | times that without"
            + " | short answered | long answered");
    for (double load : List.of(0.5, 0.6, 0.7)) {
      for (boolean chosen : List.of(true, false)) {
        double without = straggler(load, "/none", 0, chosen, 0);
        straggler(load, "/report", 2, chosen, without);
        straggler(load, "/report", 10, chosen, without);
        straggler(load, "/quote", 2, chosen, without);
      }
    }
  }

  private static double straggler(
      double load, String route, int stragglersPerSecond, boolean chosen, double without) {
    Run run = new Run(2, ENDPOINTS, QueueOrder.EARLIEST_DEADLINE, SETTINGS, chosen);
    Duration duration = Duration.ofSeconds(30);
    run.load.call(
        load * CAPACITY_PER_SECOND, duration, Duration.ofSeconds(5), RequestPathExperiment::quote);
    if (stragglersPerSecond > 0) {
      run.load.call(
          stragglersPerSecond, duration, Duration.ofSeconds(20), random -> route + "?run=4000");
    }
    run.pass(duration.plusSeconds(20));
    double wait = run.load.waitPercentile(0.99, RequestPathExperiment::isShort);
    print(
        "%s | %.1f | %d/s of 4 s on %s | %.1f | %.1f | %.2f | %.4f | %.3f",
        chosen ? "dispatcher" : "naive",
        load,
        stragglersPerSecond,
        route,
        run.load.waitPercentile(0.5, RequestPathExperiment::isShort),
        wait,
        wait / without,
        answeredShare(run, RequestPathExperiment::isShort),
        answeredShare(run, call -> !isShort(call)));
    return wait;
  }

  @Test
  void failures() {
    print("way | endpoints | failing | fault | attempts a request | answered in time");
    for (boolean chosen : List.of(true, false)) {
      for (Fault fault : Fault.values()) {
        failing(9, 3, fault, chosen);
        failing(100, 100, fault, chosen);
        failing(9, 1, fault, chosen);
      }
    }
  }

  private static void failing(int endpoints, int failing, Fault fault, boolean chosen) {
    Run run = new Run(3, endpoints, QueueOrder.EARLIEST_DEADLINE, SETTINGS, chosen);
    for (int index = 0; index < failing; index++) {
      run.deployment.endpoints.fail(TestDeployment.endpoint(index), fault);
    }
    run.load.call(400, Duration.ofSeconds(30), Duration.ofSeconds(5), RequestPathExperiment::quote);
    run.pass(Duration.ofSeconds(40));
    print(
        "%s | %d | %d | %s | %.3f | %.4f",
        chosen ? "dispatcher" : "naive",
        endpoints,
        failing,
        fault,
        (double) run.deployment.endpoints.attempts() / run.load.calls().size(),
        run.load.answeredShare());
  }

  @Test
  void connectionsLostForASecond() {
    print("answered in time within 20 s after all connections were lost for 1 s");
    Run run = new Run(6, 9, QueueOrder.EARLIEST_DEADLINE, SETTINGS, true);
    run.load.call(800, Duration.ofSeconds(10), Duration.ofSeconds(5), RequestPathExperiment::quote);
    run.pass(Duration.ofSeconds(10));
    for (int index = 0; index < 9; index++) {
      run.deployment.endpoints.fail(TestDeployment.endpoint(index), Fault.CONNECTION_LOST);
    }
    run.load.call(800, Duration.ofSeconds(1), Duration.ofSeconds(5), RequestPathExperiment::quote);
    run.pass(Duration.ofSeconds(1));
    for (int index = 0; index < 9; index++) {
      run.deployment.endpoints.heal(TestDeployment.endpoint(index));
    }
    Load after = run.newLoad();
    after.call(800, Duration.ofSeconds(20), Duration.ofSeconds(5), RequestPathExperiment::quote);
    run.pass(Duration.ofSeconds(30));
    print("%.4f", after.answeredShare());
  }

  @Test
  void processorTime() {
    print("endpoints | tickets waiting | microseconds a ticket, granted and released");
    for (int endpoints : List.of(10, 50, 200, 800)) {
      for (int waiting : List.of(0, 1_000, 4_000)) {
        new DispatcherProcessorTime(endpoints, waiting).run(20_000);
        double microseconds = new DispatcherProcessorTime(endpoints, waiting).run(50_000);
        print("%d | %d | %.2f", endpoints, waiting, microseconds);
      }
    }
  }

  @Test
  void saturation() {
    print("way | share of slot time used | most at one endpoint | messages a request");
    for (boolean chosen : List.of(true, false)) {
      Run run = new Run(4, ENDPOINTS, QueueOrder.EARLIEST_DEADLINE, SETTINGS, chosen);
      Duration duration = Duration.ofSeconds(20);
      run.load.call(
          1.5 * CAPACITY_PER_SECOND, duration, Duration.ofSeconds(2), RequestPathExperiment::quote);
      run.pass(duration);
      print(
          "%s | %.3f | %d | %.2f",
          chosen ? "dispatcher" : "naive",
          run.deployment.endpoints.busySeconds() / (SLOTS * duration.toSeconds()),
          run.deployment.endpoints.mostHeld(),
          (double) run.deployment.network.messages() / run.load.calls().size());
    }
  }

  @Test
  void hangUps() {
    print("way | most at one endpoint | answered in time of those that stayed");
    Run run = new Run(5, ENDPOINTS, QueueOrder.EARLIEST_DEADLINE, SETTINGS, true);
    for (int wave = 0; wave < 5; wave++) {
      run.load.call(
          1.5 * CAPACITY_PER_SECOND,
          Duration.ofSeconds(2),
          Duration.ofSeconds(2),
          RequestPathExperiment::quote);
      run.pass(Duration.ofSeconds(1));
      run.load.calls().stream()
          .filter(call -> !call.isEnded() && call.request().id().hashCode() % 2 == 0)
          .forEach(call -> run.cancel(call.request()));
      run.pass(Duration.ofSeconds(2));
    }
    run.pass(Duration.ofSeconds(5));
    print(
        "dispatcher | %d | %.3f",
        run.deployment.endpoints.mostHeld(),
        (double) run.load.count(Load.Call::isAnswered) / (run.load.calls().size() - run.hungUp));
  }

  private static double answeredShare(Run run, Predicate<Load.Call> condition) {
    return (double) run.load.count(condition.and(Load.Call::isAnswered))
        / run.load.count(condition);
  }

  private static boolean isShort(Load.Call call) {
    return FakeEndpoints.runTimeOf(call.request()).toMillis() < 1_000;
  }

  private static String quote(Random random) {
    double milliseconds = -Math.log(1 - random.nextDouble()) * MEAN_SHORT_RUN_SECONDS * 1_000;
    return "/quote?run=" + Math.max(1, Math.min(190, Math.round(milliseconds)));
  }

  @FormatMethod
  private static void print(String format, Object... values) {
    System.out.println("| " + String.format(format, values) + " |");
  }

  /** One run of one load over one deployment. */
  private static final class Run {
    private final TestDeployment deployment;
    private final Load load;
    private final Function<CallerRequest, CompletableFuture<CallerOutcome>> target;
    private final Random random;
    private final List<NaiveEntry> naive = new ArrayList<>();
    private long hungUp;

    private Run(
        long seed, int endpoints, QueueOrder order, ServiceSettings settings, boolean chosen) {
      this.deployment = new TestDeployment(seed, ENTRIES, endpoints, order);
      this.random = new Random(seed);
      deployment.configure(settings);
      for (int index = 0; index < ENTRIES; index++) {
        naive.add(new NaiveEntry(deployment.time, deployment.endpoints, deployment::records));
      }
      this.target =
          chosen
              ? request -> deployment.entry(entryOf(request)).serve(request)
              : request -> naive.get(random.nextInt(ENTRIES)).serve(request);
      this.load = newLoad();
    }

    private Load newLoad() {
      return new Load(deployment, random.nextLong(), target);
    }

    private void pass(Duration duration) {
      deployment.time.pass(duration);
    }

    private void cancel(CallerRequest request) {
      hungUp++;
      deployment.entry(entryOf(request)).path.cancel(request.id());
    }

    private static int entryOf(CallerRequest request) {
      return Math.floorMod(request.id().hashCode(), ENTRIES);
    }
  }
}
