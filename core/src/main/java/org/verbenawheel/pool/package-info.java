/** Pools of hosts: each host in exactly one pool, moved in phases. */
@NullMarked
package org.verbenawheel.pool;

import org.jspecify.annotations.NullMarked;
