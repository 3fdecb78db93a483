/** The settings of one process: one table of definitions that reads, checks and documents them. */
@NullMarked
package org.verbenawheel.settings;

import org.jspecify.annotations.NullMarked;
