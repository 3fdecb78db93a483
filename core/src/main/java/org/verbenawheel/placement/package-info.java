/** Where a pool's jobs run: resources, leases, quotas and quarantine. */
@NullMarked
package org.verbenawheel.placement;

import org.jspecify.annotations.NullMarked;
