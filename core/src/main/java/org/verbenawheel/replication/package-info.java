/**
 * The replicated log: terms, elections, group commit, snapshots and the state machine it drives.
 */
@NullMarked
package org.verbenawheel.replication;

import org.jspecify.annotations.NullMarked;
