/**
 * Load generators: callers that send requests to a deployment and report latencies and outcomes.
 */
@NullMarked
package org.verbenawheel.load;

import org.jspecify.annotations.NullMarked;
