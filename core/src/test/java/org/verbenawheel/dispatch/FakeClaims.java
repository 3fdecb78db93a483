package org.verbenawheel.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.verbenawheel.claim.ClaimOutcome;
import org.verbenawheel.claim.ClaimRegister;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.request.CallerAnswer;
import org.verbenawheel.request.CallerRequest;
import org.verbenawheel.request.IdempotencyKey;
import org.verbenawheel.request.RunVerdict;

/** An in-memory claim register whose futures are complete when they are returned. */
final class FakeClaims implements ClaimRegister {
  private final Map<IdempotencyKey, ClaimOutcome> states = new HashMap<>();
  private boolean available = true;

  void setAvailable(boolean value) {
    available = value;
  }

  /** Returns the outcome that the next claim of a key would get. */
  ClaimOutcome stateOf(IdempotencyKey key) {
    return states.getOrDefault(key, new ClaimOutcome.Granted());
  }

  @Override
  public CompletableFuture<ClaimOutcome> claim(CallerRequest request) {
    if (!available) {
      return CompletableFuture.completedFuture(new ClaimOutcome.Unavailable("no quorum"));
    }
    IdempotencyKey key = request.idempotencyKey().orElseThrow();
    ClaimOutcome previous =
        states.putIfAbsent(
            key, new ClaimOutcome.Held(new ProcessId("entry-0"), request.deadline()));
    return CompletableFuture.completedFuture(
        previous == null ? new ClaimOutcome.Granted() : previous);
  }

  @Override
  public CompletableFuture<Void> recordAnswer(CallerRequest request, CallerAnswer answer) {
    states.put(request.idempotencyKey().orElseThrow(), new ClaimOutcome.Answered(answer));
    return CompletableFuture.completedFuture(null);
  }

  @Override
  public CompletableFuture<Void> recordFailure(CallerRequest request, RunVerdict verdict) {
    if (verdict == RunVerdict.NOT_RUN) {
      states.remove(request.idempotencyKey().orElseThrow());
    } else {
      states.put(request.idempotencyKey().orElseThrow(), new ClaimOutcome.MayHaveRun());
    }
    return CompletableFuture.completedFuture(null);
  }
}
