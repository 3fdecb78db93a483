/** The operators' configuration of queues and the pools of workers that run them. */
@NullMarked
package org.verbenawheel.queue;

import org.jspecify.annotations.NullMarked;
