/**
 * The versioned configuration of services and pools, and the lease under which an entry may use it.
 */
@NullMarked
package org.verbenawheel.configuration;

import org.jspecify.annotations.NullMarked;
