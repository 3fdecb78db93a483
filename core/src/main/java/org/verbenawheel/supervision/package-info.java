/** Supervisor trees with restart strategies, restart limits and ordered graceful stops. */
@NullMarked
package org.verbenawheel.supervision;

import org.jspecify.annotations.NullMarked;
