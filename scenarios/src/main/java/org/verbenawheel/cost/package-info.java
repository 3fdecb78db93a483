/** Experiments that measure what one request, claim or process costs; see docs/CAPACITY.md. */
@NullMarked
package org.verbenawheel.cost;

import org.jspecify.annotations.NullMarked;
