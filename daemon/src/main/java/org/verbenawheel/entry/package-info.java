/** The entry daemon: callers and endpoints over HTTP, other processes over peer connections. */
@NullMarked
package org.verbenawheel.entry;

import org.jspecify.annotations.NullMarked;
