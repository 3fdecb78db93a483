package org.verbenawheel.claim;

import org.verbenawheel.identity.ServiceName;
import org.verbenawheel.request.CallerRequest;
import org.verbenawheel.request.IdempotencyKey;

/**
 * Identifies a claim by service and idempotency key. The same key at two services makes two
 * independent claims, so callers of different services need not coordinate their keys.
 *
 * @param service the service that the request is for
 * @param key the caller's key
 */
public record ClaimId(ServiceName service, IdempotencyKey key) {

  /**
   * Returns the id of the claim that a request needs before it is sent.
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
                () -> new IllegalArgumentException("the request has no idempotency key to claim")));
  }
}
