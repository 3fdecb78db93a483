package org.verbenawheel.replication;

import com.google.common.collect.ImmutableSet;

/**
 * A read of {@link SeededCluster}.
 *
 * @param token identifies it
 * @param acknowledgedBefore the values acknowledged before it was asked for
 */
record SeededRead(long token, ImmutableSet<String> acknowledgedBefore) {}
