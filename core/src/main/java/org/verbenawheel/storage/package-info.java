/** Durable files of a replica: a log of records with checksums, snapshots and the identity. */
@NullMarked
package org.verbenawheel.storage;

import org.jspecify.annotations.NullMarked;
