/** The interfaces through which processes of the system exchange typed messages. */
@NullMarked
package org.verbenawheel.peer;

import org.jspecify.annotations.NullMarked;
