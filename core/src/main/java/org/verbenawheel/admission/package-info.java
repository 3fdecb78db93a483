/** The bounded queue of a service's tickets: deadlines, load shedding and classes of work. */
@NullMarked
package org.verbenawheel.admission;

import org.jspecify.annotations.NullMarked;
