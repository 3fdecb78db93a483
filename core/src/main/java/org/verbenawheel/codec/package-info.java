/** MessagePack encoding of typed records, for messages and for the log. */
@NullMarked
package org.verbenawheel.codec;

import org.jspecify.annotations.NullMarked;
