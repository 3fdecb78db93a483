/**
 * Interface to the platform that powers, leases, drains and reboots hosts and reports their usage.
 */
@NullMarked
package org.verbenawheel.platform;

import org.jspecify.annotations.NullMarked;
