/** Reads YAML and JSON documents written by people, within limits, and reports every problem. */
@NullMarked
package org.verbenawheel.document;

import org.jspecify.annotations.NullMarked;
