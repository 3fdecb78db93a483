/** The operators' HTTP API as typed records, shared by control processes and the command line. */
@NullMarked
package org.verbenawheel.operator;

import org.jspecify.annotations.NullMarked;
