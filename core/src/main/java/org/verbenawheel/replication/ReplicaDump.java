package org.verbenawheel.replication;

import com.google.common.collect.ImmutableMap;

/**
 * What a replica shows of itself on request.
 *
 * @param status its term, role, leader, lease, indexes and members
 * @param appliedIndex the last entry applied to the parts of the state
 * @param pendingCommands how many commands wait for their commit
 * @param rememberedReplies how many first replies are kept for resends
 * @param parts the dump of each part of the state, by its name
 */
public record ReplicaDump(
    ReplicaStatus status,
    long appliedIndex,
    int pendingCommands,
    int rememberedReplies,
    ImmutableMap<String, Object> parts) {}
