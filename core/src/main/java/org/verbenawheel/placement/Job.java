package org.verbenawheel.placement;

import org.verbenawheel.identity.JobId;
import org.verbenawheel.identity.TeamName;
import org.verbenawheel.platform.Resources;

/**
 * A job as its owner declares it.
 *
 * @param id identifies it
 * @param team whose quota it counts towards
 * @param profile the program it runs
 * @param urgency how soon it must start
 * @param declared what its owner says that it uses, which is often far off
 */
public record Job(
    JobId id, TeamName team, ProfileName profile, Urgency urgency, Resources declared) {}
