/** Short programs that use the library without the daemons. */
@NullMarked
package org.verbenawheel.examples;

import org.jspecify.annotations.NullMarked;
