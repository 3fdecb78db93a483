package org.verbenawheel.replication;

import com.google.common.collect.ImmutableMap;

/**
 * A replica's state for operators, written as JSON.
 *
 * @param status its term, role, leader, lease, indexes and members
 * @param appliedIndex the index of the last entry applied to the parts of the state
 * @param pendingCommands the number of commands without a reply
 * @param rememberedReplies the number of replies cached for resends
 * @param parts the dump of each part of the state, by its name
 */
public record ReplicaDump(
    ReplicaStatus status,
    long appliedIndex,
    int pendingCommands,
    int rememberedReplies,
    ImmutableMap<String, Object> parts) {}
