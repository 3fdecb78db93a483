/** Decides which task starts next, and on which worker. */
@NullMarked
package org.verbenawheel.scheduling;

import org.jspecify.annotations.NullMarked;
