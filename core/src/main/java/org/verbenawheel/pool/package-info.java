/** The pools and the one map of hosts to pools, with what is being done to each host. */
@NullMarked
package org.verbenawheel.pool;

import org.jspecify.annotations.NullMarked;
