/** Length-framed MessagePack connections between the system's processes. */
@NullMarked
package org.verbenawheel.wire;

import org.jspecify.annotations.NullMarked;
