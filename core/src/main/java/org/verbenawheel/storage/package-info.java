/** Durable files of a replica: log records with checksums, snapshots and the stored identity. */
@NullMarked
package org.verbenawheel.storage;

import org.jspecify.annotations.NullMarked;
