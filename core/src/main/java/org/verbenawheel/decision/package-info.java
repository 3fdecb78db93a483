/** A bounded in-memory journal of recent decisions with their inputs, for state dumps. */
@NullMarked
package org.verbenawheel.decision;

import org.jspecify.annotations.NullMarked;
