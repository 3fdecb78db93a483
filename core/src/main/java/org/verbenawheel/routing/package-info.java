/** Which endpoint serves an admitted request: slots, ejection and trial readmission. */
@NullMarked
package org.verbenawheel.routing;

import org.jspecify.annotations.NullMarked;
