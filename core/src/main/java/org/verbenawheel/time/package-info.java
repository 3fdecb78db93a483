/** A clock whose instants never go back. */
@NullMarked
package org.verbenawheel.time;

import org.jspecify.annotations.NullMarked;
