/**
 * Membership: each entry learns which endpoints and entries are alive, through announcements,
 * leases and the deltas and digests that entries exchange.
 */
@NullMarked
package org.verbenawheel.membership;

import org.jspecify.annotations.NullMarked;
