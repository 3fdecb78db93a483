/** Experiments that measure the cost of one request, claim or process; see docs/CAPACITY.md. */
@NullMarked
package org.verbenawheel.cost;

import org.jspecify.annotations.NullMarked;
