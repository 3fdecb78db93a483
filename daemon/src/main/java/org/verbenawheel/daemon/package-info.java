/**
 * What all daemons share: command line, start and stop, HTTP server, operator access, JSON bodies.
 */
@NullMarked
package org.verbenawheel.daemon;

import org.jspecify.annotations.NullMarked;
