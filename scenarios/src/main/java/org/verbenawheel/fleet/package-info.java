/** Experiments on capacity, maintenance and placement with a clock of their own. */
@NullMarked
package org.verbenawheel.fleet;

import org.jspecify.annotations.NullMarked;
