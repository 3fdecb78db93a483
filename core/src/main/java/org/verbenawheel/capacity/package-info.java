/** How many spare hosts are powered, so that each service keeps its availability budget. */
@NullMarked
package org.verbenawheel.capacity;

import org.jspecify.annotations.NullMarked;
