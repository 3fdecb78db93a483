/** Typed names of services, hosts, endpoints, availability zones and processes. */
@NullMarked
package org.verbenawheel.identity;

import org.jspecify.annotations.NullMarked;
