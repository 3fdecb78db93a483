/** Maintenance waves that operators asked for, in the replicated state. */
@NullMarked
package org.verbenawheel.wave;

import org.jspecify.annotations.NullMarked;
