package org.verbenawheel.replication;

import com.google.common.collect.ImmutableSet;

/**
 * A read of {@link SeededCluster}.
 *
 * @param token identifies the read
 * @param acknowledgedBefore the values acknowledged before the read started, which it must see
 */
record SeededRead(long token, ImmutableSet<String> acknowledgedBefore) {}
