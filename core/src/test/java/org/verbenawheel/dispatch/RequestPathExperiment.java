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
 * Prints the figures of docs/design/request-path.md, simulated in virtual time from fixed seeds,
 * except those of {@link #processorTime}, which are measured on the real clock.
 *
 * <p>This is not a test: its name keeps it out of a regular build. Run it with {@code mvn -pl core
 * test -Dtest=RequestPathExperiment}.
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
            + " | attempts without a timely answer");
    for (boolean mixedDeadlines : List.of(false, true)) {
      for (QueueOrder order : QueueOrder.values()) {
        runQueueOrder(order, 8_192, mixedDeadlines, true);
      }
      runQueueOrder(QueueOrder.FIRST_COME, 512, mixedDeadlines, true);
      runQueueOrder(QueueOrder.FIRST_COME, 0, mixedDeadlines, false);
    }
  }

  private static void runQueueOrder(
      QueueOrder order, int bound, boolean mixedDeadlines, boolean useDispatcher) {
    ServiceSettings settings = TestDeployment.settings().queueLimit(bound).build();
    Run run = new Run(1, ENDPOINTS, order, settings, useDispatcher);
    double mean = 0.35 * CAPACITY_PER_SECOND;
    for (int burst = 0; burst < 4; burst++) {
      call(run, mean / 20, Duration.ofSeconds(6), mixedDeadlines);
      run.advance(Duration.ofSeconds(6));
      call(run, mean * 5, Duration.ofSeconds(4), mixedDeadlines);
      run.advance(Duration.ofSeconds(4));
    }
    run.advance(Duration.ofSeconds(10));
    long answered = run.load.count(CallerLoad.Call::isAnswered);
    print(
        "%s | %d | %s | %.3f | %.1f | %.1f | %d",
        useDispatcher ? order : "naive",
        bound,
        mixedDeadlines ? "0.3 s and 3 s" : "2 s",
        run.load.answeredShare(),
        run.load.waitPercentile(0.5, call -> true),
        run.load.waitPercentile(0.99, call -> true),
        run.deployment.endpoints.attempts() - answered);
  }

  private static void call(Run run, double perSecond, Duration duration, boolean mixedDeadlines) {
    if (!mixedDeadlines) {
      run.load.scheduleCalls(
          perSecond, duration, Duration.ofSeconds(2), RequestPathExperiment::quote);
      return;
    }
    run.load.scheduleCalls(
        perSecond / 2, duration, Duration.ofMillis(300), RequestPathExperiment::quote);
    run.load.scheduleCalls(
        perSecond / 2, duration, Duration.ofSeconds(3), RequestPathExperiment::quote);
  }

  @Test
  void stragglers() {
    print(
        "variant | load | stragglers | short wait p50 ms | short wait p99 ms"
            + " | p99 ratio to no stragglers"
            + " | short answered | long answered");
    for (double load : List.of(0.5, 0.6, 0.7)) {
      for (boolean useDispatcher : List.of(true, false)) {
        double waitWithoutStragglers = runStragglers(load, "/none", 0, useDispatcher, 0);
        runStragglers(load, "/report", 2, useDispatcher, waitWithoutStragglers);
        runStragglers(load, "/report", 10, useDispatcher, waitWithoutStragglers);
        runStragglers(load, "/quote", 2, useDispatcher, waitWithoutStragglers);
      }
    }
  }

  private static double runStragglers(
      double load,
      String route,
      int stragglersPerSecond,
      boolean useDispatcher,
      double waitWithoutStragglers) {
    Run run = new Run(2, ENDPOINTS, QueueOrder.EARLIEST_DEADLINE, SETTINGS, useDispatcher);
    Duration duration = Duration.ofSeconds(30);
    run.load.scheduleCalls(
        load * CAPACITY_PER_SECOND, duration, Duration.ofSeconds(5), RequestPathExperiment::quote);
    if (stragglersPerSecond > 0) {
      run.load.scheduleCalls(
          stragglersPerSecond, duration, Duration.ofSeconds(20), random -> route + "?run=4000");
    }
    run.advance(duration.plusSeconds(20));
    double wait = run.load.waitPercentile(0.99, RequestPathExperiment::isShort);
    print(
        "%s | %.1f | %d/s of 4 s on %s | %.1f | %.1f | %.2f | %.4f | %.3f",
        useDispatcher ? "dispatcher" : "naive",
        load,
        stragglersPerSecond,
        route,
        run.load.waitPercentile(0.5, RequestPathExperiment::isShort),
        wait,
        wait / waitWithoutStragglers,
        answeredShare(run, RequestPathExperiment::isShort),
        answeredShare(run, call -> !isShort(call)));
    return wait;
  }

  @Test
  void failures() {
    print("variant | endpoints | failing | fault | attempts per request | answered in time");
    for (boolean useDispatcher : List.of(true, false)) {
      for (Fault fault : Fault.values()) {
        runFailing(9, 3, fault, useDispatcher);
        runFailing(100, 100, fault, useDispatcher);
        runFailing(9, 1, fault, useDispatcher);
      }
    }
  }

  private static void runFailing(int endpoints, int failing, Fault fault, boolean useDispatcher) {
    Run run = new Run(3, endpoints, QueueOrder.EARLIEST_DEADLINE, SETTINGS, useDispatcher);
    for (int index = 0; index < failing; index++) {
      run.deployment.endpoints.setFault(TestDeployment.endpoint(index), fault);
    }
    run.load.scheduleCalls(
        400, Duration.ofSeconds(30), Duration.ofSeconds(5), RequestPathExperiment::quote);
    run.advance(Duration.ofSeconds(40));
    print(
        "%s | %d | %d | %s | %.3f | %.4f",
        useDispatcher ? "dispatcher" : "naive",
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
    run.load.scheduleCalls(
        800, Duration.ofSeconds(10), Duration.ofSeconds(5), RequestPathExperiment::quote);
    run.advance(Duration.ofSeconds(10));
    for (int index = 0; index < 9; index++) {
      run.deployment.endpoints.setFault(TestDeployment.endpoint(index), Fault.CONNECTION_LOST);
    }
    run.load.scheduleCalls(
        800, Duration.ofSeconds(1), Duration.ofSeconds(5), RequestPathExperiment::quote);
    run.advance(Duration.ofSeconds(1));
    for (int index = 0; index < 9; index++) {
      run.deployment.endpoints.clearFault(TestDeployment.endpoint(index));
    }
    CallerLoad after = run.newLoad();
    after.scheduleCalls(
        800, Duration.ofSeconds(20), Duration.ofSeconds(5), RequestPathExperiment::quote);
    run.advance(Duration.ofSeconds(30));
    print("%.4f", after.answeredShare());
  }

  @Test
  void processorTime() {
    print("endpoints | tickets waiting | microseconds per ticket, granted and released");
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
    print("variant | share of slot time used | peak held at one endpoint | messages per request");
    for (boolean useDispatcher : List.of(true, false)) {
      Run run = new Run(4, ENDPOINTS, QueueOrder.EARLIEST_DEADLINE, SETTINGS, useDispatcher);
      Duration duration = Duration.ofSeconds(20);
      run.load.scheduleCalls(
          1.5 * CAPACITY_PER_SECOND, duration, Duration.ofSeconds(2), RequestPathExperiment::quote);
      run.advance(duration);
      print(
          "%s | %.3f | %d | %.2f",
          useDispatcher ? "dispatcher" : "naive",
          run.deployment.endpoints.busySeconds() / (SLOTS * duration.toSeconds()),
          run.deployment.endpoints.peakHeld(),
          (double) run.deployment.network.messages() / run.load.calls().size());
    }
  }

  @Test
  void hangUps() {
    print(
        "variant | peak held at one endpoint"
            + " | share answered in time of those that did not hang up");
    Run run = new Run(5, ENDPOINTS, QueueOrder.EARLIEST_DEADLINE, SETTINGS, true);
    for (int wave = 0; wave < 5; wave++) {
      run.load.scheduleCalls(
          1.5 * CAPACITY_PER_SECOND,
          Duration.ofSeconds(2),
          Duration.ofSeconds(2),
          RequestPathExperiment::quote);
      run.advance(Duration.ofSeconds(1));
      run.load.calls().stream()
          .filter(call -> !call.isEnded() && call.request().id().hashCode() % 2 == 0)
          .forEach(call -> run.cancel(call.request()));
      run.advance(Duration.ofSeconds(2));
    }
    run.advance(Duration.ofSeconds(5));
    print(
        "dispatcher | %d | %.3f",
        run.deployment.endpoints.peakHeld(),
        (double) run.load.count(CallerLoad.Call::isAnswered)
            / (run.load.calls().size() - run.hungUp));
  }

  private static double answeredShare(Run run, Predicate<CallerLoad.Call> condition) {
    return (double) run.load.count(condition.and(CallerLoad.Call::isAnswered))
        / run.load.count(condition);
  }

  private static boolean isShort(CallerLoad.Call call) {
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

  /** One deployment under one load, served by the dispatcher or by naive entries. */
  private static final class Run {
    private final TestDeployment deployment;
    private final CallerLoad load;
    private final Function<CallerRequest, CompletableFuture<CallerOutcome>> target;
    private final Random random;
    private final List<NaiveEntry> naive = new ArrayList<>();
    private long hungUp;

    private Run(
        long seed,
        int endpoints,
        QueueOrder order,
        ServiceSettings settings,
        boolean useDispatcher) {
      this.deployment = new TestDeployment(seed, ENTRIES, endpoints, order);
      this.random = new Random(seed);
      deployment.configure(settings);
      for (int index = 0; index < ENTRIES; index++) {
        naive.add(new NaiveEntry(deployment.time, deployment.endpoints, deployment::records));
      }
      this.target =
          useDispatcher
              ? request -> deployment.entry(entryOf(request)).serve(request)
              : request -> naive.get(random.nextInt(ENTRIES)).serve(request);
      this.load = newLoad();
    }

    private CallerLoad newLoad() {
      return new CallerLoad(deployment, random.nextLong(), target);
    }

    private void advance(Duration duration) {
      deployment.time.advance(duration);
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
