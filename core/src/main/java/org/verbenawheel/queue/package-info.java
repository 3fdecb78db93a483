/** The operators' configuration of queues and of the worker pools that run their jobs. */
@NullMarked
package org.verbenawheel.queue;

import org.jspecify.annotations.NullMarked;
