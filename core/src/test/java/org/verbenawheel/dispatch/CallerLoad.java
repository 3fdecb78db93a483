package org.verbenawheel.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Predicate;
import org.verbenawheel.request.CallerAnswer;
import org.verbenawheel.request.CallerOutcome;
import org.verbenawheel.request.CallerRequest;
import org.verbenawheel.request.IdempotencyKey;
import org.verbenawheel.request.Refusal;
import org.verbenawheel.request.RefusalReason;

/**
 * Generates callers' requests in virtual time as a Poisson process of a given rate, and records the
 * outcome of each.
 */
final class CallerLoad {
  private final TestDeployment deployment;
  private final Random random;
  private final Function<CallerRequest, CompletableFuture<CallerOutcome>> target;
  private final List<Call> calls = new ArrayList<>();

  CallerLoad(
      TestDeployment deployment,
      long seed,
      Function<CallerRequest, CompletableFuture<CallerOutcome>> target) {
    this.deployment = deployment;
    this.random = new Random(seed);
    this.target = target;
  }

  /** Schedules calls at a mean rate over the given duration from now; virtual time stands still. */
  void scheduleCalls(
      double perSecond, Duration duration, Duration timeLeft, Function<Random, String> path) {
    Duration next = randomGap(perSecond);
    while (next.compareTo(duration) < 0) {
      deployment.time.schedule(next, () -> sendCall(path.apply(random), timeLeft));
      next = next.plus(randomGap(perSecond));
    }
  }

  /** Sends a request now; a path of {@code /order} carries an idempotency key. */
  void sendCall(String path, Duration timeLeft) {
    Optional<IdempotencyKey> key =
        path.startsWith("/order") ? Optional.of(deployment.newKey()) : Optional.empty();
    CallerRequest request = deployment.request(path, timeLeft, key);
    Call call = new Call(request, deployment.now());
    calls.add(call);
    var unused =
        target
            .apply(request)
            .thenAccept(
                outcome -> {
                  call.outcome = outcome;
                  call.endedAt = deployment.now();
                });
  }

  List<Call> calls() {
    return calls;
  }

  long count(Predicate<Call> condition) {
    return calls.stream().filter(condition).count();
  }

  /** Returns the share of calls that were answered within their deadline. */
  double answeredShare() {
    return (double) count(Call::isAnswered) / calls.size();
  }

  /**
   * Returns a percentile, from 0 to 1, of the milliseconds that answered calls took in addition to
   * their run time.
   */
  double waitPercentile(double percentile, Predicate<Call> condition) {
    double[] waits =
        calls.stream()
            .filter(Call::isAnswered)
            .filter(condition)
            .mapToDouble(Call::waitMilliseconds)
            .sorted()
            .toArray();
    return waits.length == 0 ? Double.NaN : waits[(int) ((waits.length - 1) * percentile)];
  }

  private Duration randomGap(double perSecond) {
    return Duration.ofNanos((long) (-Math.log(1 - random.nextDouble()) / perSecond * 1e9));
  }

  /** One request and its outcome. */
  static final class Call {
    private static final CallerOutcome PENDING_OUTCOME =
        Refusal.notRun(RefusalReason.BAD_REQUEST, "no outcome yet");

    private final CallerRequest request;
    private final Instant calledAt;
    private CallerOutcome outcome = PENDING_OUTCOME;
    private Instant endedAt = Instant.MAX;

    private Call(CallerRequest request, Instant calledAt) {
      this.request = request;
      this.calledAt = calledAt;
    }

    CallerRequest request() {
      return request;
    }

    boolean isEnded() {
      return outcome != PENDING_OUTCOME;
    }

    boolean isAnswered() {
      return outcome instanceof CallerAnswer answer
          && answer.status() < 500
          && !endedAt.isAfter(request.deadline());
    }

    CallerOutcome outcome() {
      return outcome;
    }

    double waitMilliseconds() {
      double totalMilliseconds = Duration.between(calledAt, endedAt).toNanos() / 1e6;
      return totalMilliseconds - FakeEndpoints.runTimeOf(request).toMillis();
    }
  }
}
