/**
 * Experiments on the cost of membership and the time to complete it after a restart, over loopback.
 */
@NullMarked
package org.verbenawheel.spread;

import org.jspecify.annotations.NullMarked;
