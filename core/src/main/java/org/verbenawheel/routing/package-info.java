/** Selection of the endpoint for an admitted request: slot leases, outlier ejection and trials. */
@NullMarked
package org.verbenawheel.routing;

import org.jspecify.annotations.NullMarked;
