package org.verbenawheel.placement;

import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.Map;
import org.verbenawheel.identity.TeamName;
import org.verbenawheel.platform.Resources;

/** Counts what each team's running jobs were granted against its quota; no quota is no bound. */
final class TeamQuotas {
  private final ImmutableMap<TeamName, Resources> quotas;
  private final Map<TeamName, Resources> granted = new HashMap<>();

  TeamQuotas(ImmutableMap<TeamName, Resources> quotas) {
    this.quotas = quotas;
  }

  boolean couldEverHold(TeamName team, Resources demand) {
    Resources quota = quotas.get(team);
    return quota == null || quota.holds(demand);
  }

  boolean holds(TeamName team, Resources demand) {
    return couldEverHold(team, granted(team).plus(demand));
  }

  void grant(TeamName team, Resources demand) {
    granted.put(team, granted(team).plus(demand));
  }

  void giveBack(TeamName team, Resources demand) {
    granted.put(team, granted(team).minus(demand));
  }

  private Resources granted(TeamName team) {
    return granted.getOrDefault(team, Resources.NONE);
  }
}
