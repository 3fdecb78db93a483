/** The operators' command line, and the client of the operators' HTTP API that it uses. */
@NullMarked
package org.verbenawheel.command;

import org.jspecify.annotations.NullMarked;
