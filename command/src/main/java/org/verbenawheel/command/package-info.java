/** The operators' command line, and the client of the operators' HTTP API that it stands on. */
@NullMarked
package org.verbenawheel.command;

import org.jspecify.annotations.NullMarked;
