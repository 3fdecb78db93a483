/**
 * At-most-once execution: idempotency keys claimed in the replicated state before a request is
 * sent.
 */
@NullMarked
package org.verbenawheel.claim;

import org.jspecify.annotations.NullMarked;
