/** Which endpoints and entries are alive: announcements, leases, deltas and digests. */
@NullMarked
package org.verbenawheel.membership;

import org.jspecify.annotations.NullMarked;
