/** Fakes, load and experiment tools for scripted scenarios. */
@NullMarked
package org.verbenawheel.scenarios;

import org.jspecify.annotations.NullMarked;
