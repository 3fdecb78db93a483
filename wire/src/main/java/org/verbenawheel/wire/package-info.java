/** TCP connections between the system's processes, with length-prefixed MessagePack frames. */
@NullMarked
package org.verbenawheel.wire;

import org.jspecify.annotations.NullMarked;
