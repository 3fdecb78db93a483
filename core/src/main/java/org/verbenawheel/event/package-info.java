/** Log lines of key=value pairs, each with one of a fixed set of event names. */
@NullMarked
package org.verbenawheel.event;

import org.jspecify.annotations.NullMarked;
