/** A small HTTP client over Netty for the endpoints that the control processes command. */
@NullMarked
package org.verbenawheel.http;

import org.jspecify.annotations.NullMarked;
