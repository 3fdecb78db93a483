/** What a caller asks, what it is answered, and whether a request may have run. */
@NullMarked
package org.verbenawheel.request;

import org.jspecify.annotations.NullMarked;
