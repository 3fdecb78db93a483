/** Clocks as arguments: instants that never go back. */
@NullMarked
package org.verbenawheel.time;

import org.jspecify.annotations.NullMarked;
