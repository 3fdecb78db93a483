/** The thin daemons: what every process starts from. */
@NullMarked
package org.verbenawheel.daemon;

import org.jspecify.annotations.NullMarked;
