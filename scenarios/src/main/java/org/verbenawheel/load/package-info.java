/** The load and experiment tool: callers that send requests and report what became of them. */
@NullMarked
package org.verbenawheel.load;

import org.jspecify.annotations.NullMarked;
