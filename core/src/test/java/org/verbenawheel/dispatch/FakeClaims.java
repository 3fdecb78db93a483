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

/** A claim register in memory that decides at once. */
final class FakeClaims implements ClaimRegister {
  private final Map<IdempotencyKey, ClaimOutcome> known = new HashMap<>();
  private boolean available = true;

  void setAvailable(boolean value) {
    available = value;
  }

  /** Returns what a next claim of the key would be told. */
  ClaimOutcome stateOf(IdempotencyKey key) {
    return known.getOrDefault(key, new ClaimOutcome.Granted());
  }

  @Override
  public CompletableFuture<ClaimOutcome> claim(CallerRequest request) {
    if (!available) {
      return CompletableFuture.completedFuture(new ClaimOutcome.Unavailable("no quorum"));
    }
    IdempotencyKey key = request.idempotencyKey().orElseThrow();
    ClaimOutcome before =
        known.putIfAbsent(key, new ClaimOutcome.Held(new ProcessId("entry-0"), request.deadline()));
    return CompletableFuture.completedFuture(before == null ? new ClaimOutcome.Granted() : before);
  }

  @Override
  public CompletableFuture<Void> recordAnswer(CallerRequest request, CallerAnswer answer) {
    known.put(request.idempotencyKey().orElseThrow(), new ClaimOutcome.Answered(answer));
    return CompletableFuture.completedFuture(null);
  }

  @Override
  public CompletableFuture<Void> recordFailure(CallerRequest request, RunVerdict verdict) {
    if (verdict == RunVerdict.NOT_RUN) {
      known.remove(request.idempotencyKey().orElseThrow());
    } else {
      known.put(request.idempotencyKey().orElseThrow(), new ClaimOutcome.MayHaveRun());
    }
    return CompletableFuture.completedFuture(null);
  }
}
