/** Maintenance in waves across failure domains, within the services' availability budgets. */
@NullMarked
package org.verbenawheel.maintenance;

import org.jspecify.annotations.NullMarked;
