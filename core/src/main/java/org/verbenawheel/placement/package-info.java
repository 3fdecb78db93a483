/** Placement of jobs on a pool's workers: resources, leases, quotas and quarantine. */
@NullMarked
package org.verbenawheel.placement;

import org.jspecify.annotations.NullMarked;
