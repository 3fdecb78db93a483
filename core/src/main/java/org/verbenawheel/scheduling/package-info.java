/** The scheduler of jobs: decides which waiting tasks start, and on which workers. */
@NullMarked
package org.verbenawheel.scheduling;

import org.jspecify.annotations.NullMarked;
