package org.verbenawheel.load;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import java.io.PrintStream;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.verbenawheel.request.Body;
import org.verbenawheel.request.IdempotencyKey;

/**
 * Checks a running local deployment: sends requests through all its entries and prints the results.
 *
 * <p>It requests quotes from each service, which are idempotent, and places orders, which are not.
 * Then it sends one order twice under the same idempotency key, the second time through another
 * entry, which must return the first answer and not run the order again.
 */
public final class LocalDeploymentCheck {
  private static final int CONNECTIONS = 32;
  private static final int CONCURRENCY = 16;
  private static final int ORDERS_IN_TEN = 3;
  private static final long LONGEST_WORK_MILLISECONDS = 20;
  private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(30);
  private static final Duration START_TIMEOUT = Duration.ofSeconds(60);
  private static final long SEED = 20261204;

  private final ImmutableList<CallerClient> callers;
  private final PrintStream out;
  private final Random random = new Random(SEED);
  private final InstantSource clock = InstantSource.system();
  private int wrongAnswers;

  private LocalDeploymentCheck(ImmutableList<CallerClient> callers, PrintStream out) {
    this.callers = callers;
    this.out = out;
  }

  /**
   * Runs the check; the exit code is 0 only if every answer was complete and correct.
   *
   * @param arguments the entries' addresses separated by commas, the number of requests per
   *     service, then {@code <service>=<endpoints>} for each service
   */
  public static void main(String[] arguments) {
    ImmutableList<CallerClient> callers =
        Splitter.on(',')
            .splitToStream(arguments[0])
            .map(address -> new CallerClient(address, CONNECTIONS))
            .collect(ImmutableList.toImmutableList());
    List<String> services = new ArrayList<>();
    for (int argument = 2; argument < arguments.length; argument++) {
      services.add(Splitter.on('=').splitToList(arguments[argument]).get(0));
    }
    LocalDeploymentCheck check = new LocalDeploymentCheck(callers, System.out);
    boolean passed = check.run(services, Integer.parseInt(arguments[1]));
    callers.forEach(CallerClient::close);
    Runtime.getRuntime().halt(passed ? 0 : 1);
  }

  private boolean run(List<String> services, int requests) {
    if (!services.stream().allMatch(this::awaitServedByAllEntries)) {
      return false;
    }
    out.println();
    out.println(LoadReport.tableHeading());
    List<LoadReport> reports = new ArrayList<>();
    for (String service : services) {
      LoadReport report =
          new ClosedLoop(
                  callers,
                  number -> request(service, number),
                  LocalDeploymentCheck::isCorrect,
                  ANSWER_TIMEOUT)
              .run(requests, CONCURRENCY);
      out.println(report.tableLine(service));
      reports.add(report);
      wrongAnswers += report.wrongAnswers();
    }
    out.println();
    for (LoadReport report : reports) {
      out.println("endpoints used: " + report.endpoints());
    }
    services.forEach(this::sendOneOrderTwice);
    requestUnknownService();
    out.println(
        wrongAnswers == 0
            ? "all answers were complete and correct"
            : wrongAnswers + " answers were wrong or missing");
    return wrongAnswers == 0;
  }

  private boolean awaitServedByAllEntries(String service) {
    Instant end = clock.instant().plus(START_TIMEOUT);
    String path = "/service/" + service + "/quotes";
    while (clock.instant().isBefore(end)) {
      boolean served =
          callers.stream()
              .map(caller -> caller.send(LoadRequest.get(path, 0), ANSWER_TIMEOUT).join())
              .allMatch(result -> result.status() == 200);
      if (served) {
        return true;
      }
      sleepBetweenProbes();
    }
    out.println(service + " is not served by every entry within " + START_TIMEOUT);
    return false;
  }

  private LoadRequest request(String service, int number) {
    long workMilliseconds = 1 + Math.floorMod(number * 7L, LONGEST_WORK_MILLISECONDS);
    if (number % 10 >= ORDERS_IN_TEN) {
      return LoadRequest.get("/service/" + service + "/quotes", workMilliseconds);
    }
    Body body = Body.ofText("order " + service + " " + number);
    return LoadRequest.post("/service/" + service + "/orders", newKey(), body, workMilliseconds);
  }

  private synchronized IdempotencyKey newKey() {
    return IdempotencyKey.create(clock.instant(), random.nextLong());
  }

  /** A fake endpoint answers with its name, a colon and the body of the request. */
  private static boolean isCorrect(LoadRequest request, CallerResult result) {
    String requestBody = request.body().toText();
    return result.status() == 200
        && result.text().equals(result.endpoint().orElse("") + ":" + requestBody);
  }

  private void sendOneOrderTwice(String service) {
    Body body = Body.ofText("one order");
    LoadRequest order = LoadRequest.post("/service/" + service + "/orders", newKey(), body, 1);
    CallerResult first = callers.get(0).send(order, ANSWER_TIMEOUT).join();
    CallerResult second = callers.get(1).send(order, ANSWER_TIMEOUT).join();
    boolean same = isCorrect(order, first) && first.text().equals(second.text());
    wrongAnswers += same ? 0 : 1;
    out.println(
        service
            + ": the same idempotency key through another entry returned "
            + (same ? "the first answer" : second.status() + " " + second.text()));
  }

  private void requestUnknownService() {
    CallerResult refused =
        callers
            .get(0)
            .send(LoadRequest.get("/service/no-such-service/x", 0), ANSWER_TIMEOUT)
            .join();
    out.println("a service that does not exist: " + refused.status() + " " + refused.text());
  }

  private static void sleepBetweenProbes() {
    Executor delayed = CompletableFuture.delayedExecutor(200, TimeUnit.MILLISECONDS);
    CompletableFuture.runAsync(() -> {}, delayed).join();
  }
}
