/** The replicated state of pools and hosts, and the controller that runs activities on hosts. */
@NullMarked
package org.verbenawheel.pool;

import org.jspecify.annotations.NullMarked;
