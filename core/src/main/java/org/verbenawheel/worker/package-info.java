/** The workers that run tasks, as they announce themselves. */
@NullMarked
package org.verbenawheel.worker;

import org.jspecify.annotations.NullMarked;
