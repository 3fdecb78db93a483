/** The budget that limits retries of failed attempts to a share of live traffic. */
@NullMarked
package org.verbenawheel.retry;

import org.jspecify.annotations.NullMarked;
