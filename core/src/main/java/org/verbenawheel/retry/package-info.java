/** When a failed attempt may be sent again, within a budget that is a share of live traffic. */
@NullMarked
package org.verbenawheel.retry;

import org.jspecify.annotations.NullMarked;
