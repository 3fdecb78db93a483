/** Callers' requests on queues: from the entry that takes them to the leader that answers. */
@NullMarked
package org.verbenawheel.gateway;

import org.jspecify.annotations.NullMarked;
