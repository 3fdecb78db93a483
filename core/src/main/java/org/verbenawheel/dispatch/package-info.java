/**
 * The request path: an elected dispatcher for each service grants slots of endpoints to entries,
 * and each entry serves its callers' requests with the slots that it is granted.
 */
@NullMarked
package org.verbenawheel.dispatch;

import org.jspecify.annotations.NullMarked;
