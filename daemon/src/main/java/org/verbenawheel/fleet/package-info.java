/** The daemons that run jobs on a fleet of workers: composition, without any outside protocol. */
@NullMarked
package org.verbenawheel.fleet;

import org.jspecify.annotations.NullMarked;
