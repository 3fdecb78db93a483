package org.verbenawheel.placement;

import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.Map;
import org.verbenawheel.identity.TeamName;
import org.verbenawheel.platform.Resources;

/**
 * Tracks the resources granted to each team's running jobs against the team's quota. A team without
 * a quota has no limit.
 */
final class TeamQuotas {
  private final ImmutableMap<TeamName, Resources> quotas;
  private final Map<TeamName, Resources> granted = new HashMap<>();

  TeamQuotas(ImmutableMap<TeamName, Resources> quotas) {
    this.quotas = quotas;
  }

  /** Returns whether the team's quota holds the demand when nothing of it is used. */
  boolean fitsWholeQuota(TeamName team, Resources demand) {
    Resources quota = quotas.get(team);
    return quota == null || quota.holds(demand);
  }

  /** Returns whether the unused part of the team's quota holds the demand. */
  boolean fitsFreeQuota(TeamName team, Resources demand) {
    return fitsWholeQuota(team, granted(team).plus(demand));
  }

  void grant(TeamName team, Resources demand) {
    granted.put(team, granted(team).plus(demand));
  }

  void release(TeamName team, Resources demand) {
    granted.put(team, granted(team).minus(demand));
  }

  private Resources granted(TeamName team) {
    return granted.getOrDefault(team, Resources.NONE);
  }
}
