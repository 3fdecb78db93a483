/** The steps of the scenarios that prove the promises on separate processes. */
@NullMarked
package org.verbenawheel.scenarios;

import org.jspecify.annotations.NullMarked;
