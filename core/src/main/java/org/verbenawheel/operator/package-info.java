/** Typed records of the operators' HTTP API, shared by control processes and the command line. */
@NullMarked
package org.verbenawheel.operator;

import org.jspecify.annotations.NullMarked;
