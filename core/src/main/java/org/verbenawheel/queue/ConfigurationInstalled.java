package org.verbenawheel.queue;

import org.verbenawheel.replication.CommandReply;

/**
 * Replies to {@link InstallConfiguration}.
 *
 * @param versionInForce the version that is in force now; higher than the one sent if a newer
 *     configuration was installed before
 */
public record ConfigurationInstalled(long versionInForce) implements CommandReply {}
