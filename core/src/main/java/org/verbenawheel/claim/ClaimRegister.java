package org.verbenawheel.claim;

import java.util.concurrent.CompletableFuture;
import org.verbenawheel.request.CallerAnswer;
import org.verbenawheel.request.CallerRequest;
import org.verbenawheel.request.RunVerdict;

/**
 * Claims idempotency keys in the replicated state, so that a non-idempotent request runs at most
 * once across all entries. Entries call it on the request path.
 */
public interface ClaimRegister {
  /**
   * Claims the key of a request; must complete before the first byte goes to an endpoint.
   *
   * @param request a request with an idempotency key
   * @return the quorum's decision, or {@link ClaimOutcome.Unavailable}; never fails
   */
  CompletableFuture<ClaimOutcome> claim(CallerRequest request);

  /**
   * Records the answer of a claimed request, for later requests with the same key.
   *
   * @param request the claimed request
   * @param answer the endpoint's complete answer
   * @return completes when the answer was recorded or the attempt to record it failed; never fails
   */
  CompletableFuture<Void> recordAnswer(CallerRequest request, CallerAnswer answer);

  /**
   * Records that the attempt at a claimed request ended without an answer.
   *
   * @param request the claimed request
   * @param verdict {@link RunVerdict#NOT_RUN} releases the key; {@link RunVerdict#MAY_HAVE_RUN}
   *     keeps it
   * @return completes when the failure was recorded or the attempt to record it failed; never fails
   */
  CompletableFuture<Void> recordFailure(CallerRequest request, RunVerdict verdict);
}
