/** What the leader does with workers: it starts, watches and stops their runs under leases. */
@NullMarked
package org.verbenawheel.execution;

import org.jspecify.annotations.NullMarked;
