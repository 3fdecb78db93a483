/**
 * Composes the control and entry processes that run jobs on a fleet of workers. The protocols to
 * callers, workers and the platform are added from outside.
 */
@NullMarked
package org.verbenawheel.fleet;

import org.jspecify.annotations.NullMarked;
