/** The operators' command line. */
@NullMarked
package org.verbenawheel.command;

import org.jspecify.annotations.NullMarked;
