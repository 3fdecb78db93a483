/** Hand-written fakes of the systems around this one: endpoints and callers. */
@NullMarked
package org.verbenawheel.fake;

import org.jspecify.annotations.NullMarked;
