/** A small HTTP client over Netty that control processes send their orders with. */
@NullMarked
package org.verbenawheel.http;

import org.jspecify.annotations.NullMarked;
