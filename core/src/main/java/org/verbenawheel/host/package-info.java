/** The orders that leaders sent to the platform for its hosts, in the replicated state. */
@NullMarked
package org.verbenawheel.host;

import org.jspecify.annotations.NullMarked;
