/** Documents that people write in YAML or JSON: read within bounds, refused with clear problems. */
@NullMarked
package org.verbenawheel.document;

import org.jspecify.annotations.NullMarked;
