/**
 * The entry daemon: serves callers and endpoints over HTTP and reaches the other processes over
 * peer connections.
 */
@NullMarked
package org.verbenawheel.entry;

import org.jspecify.annotations.NullMarked;
