/** Jobs in the replicated state: what callers submitted, and the progress of each task. */
@NullMarked
package org.verbenawheel.job;

import org.jspecify.annotations.NullMarked;
