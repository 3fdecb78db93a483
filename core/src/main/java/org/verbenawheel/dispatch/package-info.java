/**
 * The request path: one elected dispatcher for each service that grants slots to entries, and the
 * entry's side that serves a caller's request with the slots it is granted.
 */
@NullMarked
package org.verbenawheel.dispatch;

import org.jspecify.annotations.NullMarked;
