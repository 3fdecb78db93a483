/** Jobs in the replicated state: what callers submitted, and how far each task is. */
@NullMarked
package org.verbenawheel.job;

import org.jspecify.annotations.NullMarked;
