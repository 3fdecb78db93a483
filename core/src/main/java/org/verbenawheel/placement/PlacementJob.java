package org.verbenawheel.placement;

import org.verbenawheel.identity.JobId;
import org.verbenawheel.identity.TeamName;
import org.verbenawheel.platform.Resources;

/**
 * A job as its owner submits it.
 *
 * @param id identifies the job
 * @param team the team whose quota it counts towards
 * @param profile the program that it runs
 * @param urgency how soon it must start
 * @param declared the resources that its owner declares; the real usage is often far off
 */
public record PlacementJob(
    JobId id, TeamName team, ProfileName profile, Urgency urgency, Resources declared) {}
