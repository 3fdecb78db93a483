/** Logs of the daemons: to standard output, limited in rate, without blocking request threads. */
@NullMarked
package org.verbenawheel.logging;

import org.jspecify.annotations.NullMarked;
