/** Runs a deployment of separate processes on loopback, for scenarios and experiments. */
@NullMarked
package org.verbenawheel.local;

import org.jspecify.annotations.NullMarked;
