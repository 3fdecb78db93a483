/**
 * At-most-once execution: an entry claims a request's idempotency key in the replicated state
 * before it sends the request to an endpoint.
 */
@NullMarked
package org.verbenawheel.claim;

import org.jspecify.annotations.NullMarked;
