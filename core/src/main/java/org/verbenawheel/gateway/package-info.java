/**
 * Callers' requests to queues: messages between entry processes and the leader, and their handler.
 */
@NullMarked
package org.verbenawheel.gateway;

import org.jspecify.annotations.NullMarked;
