package org.verbenawheel.queue;

import org.verbenawheel.replication.CommandReply;

/**
 * Answers {@link InstallConfiguration}.
 *
 * @param versionInForce the version that is in force now, which may be higher than the one sent
 */
public record ConfigurationInstalled(long versionInForce) implements CommandReply {}
