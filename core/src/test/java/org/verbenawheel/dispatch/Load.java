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

/** Callers in virtual time: requests at random moments of a given rate, and what became of them. */
final class Load {
  private final TestDeployment deployment;
  private final Random random;
  private final Function<CallerRequest, CompletableFuture<CallerOutcome>> target;
  private final List<Call> calls = new ArrayList<>();

  Load(
      TestDeployment deployment,
      long seed,
      Function<CallerRequest, CompletableFuture<CallerOutcome>> target) {
    this.deployment = deployment;
    this.random = new Random(seed);
    this.target = target;
  }

  /** Calls from now on for a while, and returns without letting time pass. */
  void call(double perSecond, Duration duration, Duration timeLeft, Function<Random, String> path) {
    Duration next = randomGap(perSecond);
    while (next.compareTo(duration) < 0) {
      deployment.time.after(next, () -> callNow(path.apply(random), timeLeft));
      next = next.plus(randomGap(perSecond));
    }
  }

  /** Calls now. */
  void callNow(String path, Duration timeLeft) {
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

  /** Returns a percentile of the time beyond the run time that answered calls took. */
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

  /** One call. */
  static final class Call {
    private static final CallerOutcome NONE =
        Refusal.notRun(RefusalReason.BAD_REQUEST, "no outcome yet");

    private final CallerRequest request;
    private final Instant calledAt;
    private CallerOutcome outcome = NONE;
    private Instant endedAt = Instant.MAX;

    private Call(CallerRequest request, Instant calledAt) {
      this.request = request;
      this.calledAt = calledAt;
    }

    CallerRequest request() {
      return request;
    }

    boolean isEnded() {
      return outcome != NONE;
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
      double took = Duration.between(calledAt, endedAt).toNanos() / 1e6;
      return took - FakeEndpoints.runTimeOf(request).toMillis();
    }
  }
}
