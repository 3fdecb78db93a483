/** Maintenance waves that operators started, in the replicated state. */
@NullMarked
package org.verbenawheel.wave;

import org.jspecify.annotations.NullMarked;
