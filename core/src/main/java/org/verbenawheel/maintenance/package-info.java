/** Maintenance waves across failure domains, as wide as the tightest budget allows. */
@NullMarked
package org.verbenawheel.maintenance;

import org.jspecify.annotations.NullMarked;
