/**
 * Callers' requests, their answers and refusals, and verdicts on whether a request may have run.
 */
@NullMarked
package org.verbenawheel.request;

import org.jspecify.annotations.NullMarked;
