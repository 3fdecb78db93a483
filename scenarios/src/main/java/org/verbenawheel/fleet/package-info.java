/** Experiments on capacity, maintenance and placement, most of them under a simulated clock. */
@NullMarked
package org.verbenawheel.fleet;

import org.jspecify.annotations.NullMarked;
