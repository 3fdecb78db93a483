/** The control daemon: runs one replica of the log, the controllers and the operator interface. */
@NullMarked
package org.verbenawheel.control;

import org.jspecify.annotations.NullMarked;
