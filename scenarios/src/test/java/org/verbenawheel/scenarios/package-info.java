/**
 * Scenarios, with their steps, that verify the guarantees on a deployment of separate processes.
 */
@NullMarked
package org.verbenawheel.scenarios;

import org.jspecify.annotations.NullMarked;
