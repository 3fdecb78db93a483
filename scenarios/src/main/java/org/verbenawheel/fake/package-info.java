/** Fakes of the systems around a deployment: the endpoints and the platform's balancer. */
@NullMarked
package org.verbenawheel.fake;

import org.jspecify.annotations.NullMarked;
