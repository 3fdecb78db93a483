package org.verbenawheel.claim;

import org.verbenawheel.identity.ServiceName;
import org.verbenawheel.request.CallerRequest;
import org.verbenawheel.request.IdempotencyKey;

/**
 * Identifies a claim: a caller's key at one service. Callers of two services need not agree on
 * keys.
 *
 * @param service the service asked
 * @param key the caller's key
 */
public record ClaimId(ServiceName service, IdempotencyKey key) {

  /**
   * Returns the claim that a request needs.
   *
   * @param request a request with an idempotency key
   * @throws IllegalArgumentException if the request has no key
   */
  public static ClaimId of(CallerRequest request) {
    return new ClaimId(
        request.service(),
        request
            .idempotencyKey()
            .orElseThrow(
                () -> new IllegalArgumentException("an idempotent request needs no claim")));
  }
}
