package org.verbenawheel.capacity;

import static com.google.common.collect.ImmutableList.toImmutableList;
import static com.google.common.collect.ImmutableSet.toImmutableSet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Iterables;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.verbenawheel.configuration.PoolRole;
import org.verbenawheel.configuration.PoolSettings;
import org.verbenawheel.identity.HostName;
import org.verbenawheel.identity.PoolName;
import org.verbenawheel.pool.ActivityId;
import org.verbenawheel.pool.ActivityKind;
import org.verbenawheel.pool.HostCondition;
import org.verbenawheel.pool.HostRecord;
import org.verbenawheel.pool.PoolCommand.StartActivity;
import org.verbenawheel.pool.PoolView;

/**
 * Decides which spare hosts to power on or off and which hosts to lend between pools. Does no I/O.
 *
 * <p>Queues absorb bursts, because powering on a host takes far longer than a burst lasts; a pool's
 * need already includes them. A pool that lacks hosts gets powered spares first, then hosts that
 * another pool does not need; spares are powered on only for the rest. Needs are met before
 * maintenance waves, and waves before reserves. Lent hosts are returned, and spares powered off,
 * when no pool wants them and the hold time has passed.
 */
public final class CapacityPlanner {
  private final CapacitySettings settings;

  /**
   * Creates a planner.
   *
   * @param settings the times and margins to plan with
   */
  public CapacityPlanner(CapacitySettings settings) {
    this.settings = settings;
  }

  /**
   * Returns the host activities to start now.
   *
   * @param view the pools and hosts
   * @param needs what each pool must keep; no host is lent from or to a pool without an entry
   * @param poolsDue the pools with hosts that are due for maintenance
   * @param now the current time
   */
  public CapacityPlan plan(
      PoolView view,
      ImmutableMap<PoolName, PoolNeed> needs,
      ImmutableSet<PoolName> poolsDue,
      Instant now) {
    ImmutableList<PoolBalance> balances =
        needs.values().stream()
            .filter(need -> role(view, need.pool()) == PoolRole.SERVING)
            .map(need -> PoolBalance.of(need, view, poolsDue.contains(need.pool()), settings, now))
            .collect(toImmutableList());
    Round round = new Round(view, balances, now);
    round.fillMissing();
    round.returnLentHosts();
    round.powerOffIdleSpares();
    return new CapacityPlan(ImmutableList.copyOf(round.steps));
  }

  private static PoolRole role(PoolView view, PoolName pool) {
    PoolSettings poolSettings = view.pools().get(pool);
    return poolSettings == null ? PoolRole.SPARE : poolSettings.role();
  }

  /** The state of one call of {@link #plan}, which chooses each host at most once. */
  private final class Round {
    private final PoolView view;
    private final ImmutableList<PoolBalance> balances;
    private final Instant now;
    private final List<CapacityPlan.Step> steps = new ArrayList<>();
    private final Set<HostName> chosen = new HashSet<>();
    private final Iterator<HostRecord> poweredSpares;
    private final Iterator<HostRecord> lendable;
    private int stillMissing;

    Round(PoolView view, ImmutableList<PoolBalance> balances, Instant now) {
      this.view = view;
      this.balances = balances;
      this.now = now;
      this.poweredSpares = spares(HostCondition.IN_SERVICE).iterator();
      this.lendable = balances.stream().flatMap(balance -> lendableOf(balance).stream()).iterator();
    }

    void fillMissing() {
      WantedHost.byUrgency(balances).forEach(this::fill);
      int poweringOn = (int) spareHosts().filter(CapacityPlanner::isPoweringOn).count();
      ImmutableList<HostRecord> off = spares(HostCondition.OFF);
      for (HostRecord host : Iterables.limit(off, Math.max(0, stillMissing - poweringOn))) {
        addStep(host, ActivityKind.POWER_ON, Optional.empty(), stillMissing + " hosts are missing");
      }
    }

    private void fill(WantedHost wanted) {
      PoolBalance balance = wanted.balance();
      Optional<PoolName> target = Optional.of(balance.pool());
      String reason = wanted.purpose() + ": " + balance;
      if (poweredSpares.hasNext()) {
        addStep(poweredSpares.next(), ActivityKind.LEND, target, reason);
      } else if (wanted.purpose() == WantedHost.Purpose.NEED && lendable.hasNext()) {
        addStep(lendable.next(), ActivityKind.LEND, target, reason);
      } else {
        stillMissing++;
      }
    }

    /** Includes the hosts held for a wave or in reserve: another pool needs them now. */
    private ImmutableList<HostRecord> lendableOf(PoolBalance balance) {
      int lendableCount = balance.surplusOverNeed() - settings.lenderMargin();
      return balance.available().stream()
          .filter(this::isHoldTimeOver)
          .limit(Math.max(0, lendableCount))
          .collect(toImmutableList());
    }

    void returnLentHosts() {
      ImmutableSet<PoolName> shortPools =
          balances.stream()
              .filter(balance -> balance.surplusOverNeed() < 0)
              .map(PoolBalance::pool)
              .collect(toImmutableSet());
      for (PoolBalance balance : balances) {
        int overNeed = balance.surplusOverNeed();
        int overTarget = balance.surplusOverTarget();
        for (HostRecord host : balance.available()) {
          boolean lenderIsShort = host.lentFrom().filter(shortPools::contains).isPresent();
          boolean isSurplus = lenderIsShort ? overNeed > 0 : overTarget > 0;
          if (host.lentFrom().isPresent() && isSurplus && mayBeReturned(host)) {
            addStep(host, ActivityKind.MOVE, host.lentFrom(), "returned: " + balance);
            overNeed--;
            overTarget--;
          }
        }
      }
    }

    private boolean mayBeReturned(HostRecord host) {
      return isHoldTimeOver(host) && !chosen.contains(host.host());
    }

    void powerOffIdleSpares() {
      if (stillMissing > 0) {
        return;
      }
      while (poweredSpares.hasNext()) {
        HostRecord host = poweredSpares.next();
        if (isHoldTimeOver(host) && mayPowerOffIn(host.pool())) {
          addStep(host, ActivityKind.POWER_OFF, Optional.empty(), "no pool lacks hosts");
        }
      }
    }

    private boolean mayPowerOffIn(PoolName pool) {
      PoolSettings poolSettings = view.pools().get(pool);
      long powered =
          view.hostsOf(pool).stream()
              .filter(host -> host.condition() == HostCondition.IN_SERVICE)
              .count();
      long poweringOff = steps.stream().filter(step -> powersOffHostOf(step, pool)).count();
      return poolSettings != null && powered - poweringOff > poolSettings.minimumHosts();
    }

    private boolean powersOffHostOf(CapacityPlan.Step step, PoolName pool) {
      HostRecord host = view.hosts().get(step.command().host());
      return step.command().kind() == ActivityKind.POWER_OFF
          && host != null
          && host.pool().equals(pool);
    }

    private boolean isHoldTimeOver(HostRecord host) {
      return !host.changedAt().plus(settings.holdTime()).isAfter(now);
    }

    private Stream<HostRecord> spareHosts() {
      return view.pools().values().stream()
          .filter(pool -> pool.role() == PoolRole.SPARE)
          .flatMap(pool -> view.hostsOf(pool.name()).stream());
    }

    private ImmutableList<HostRecord> spares(HostCondition condition) {
      return spareHosts()
          .filter(host -> host.condition() == condition && host.activity().isEmpty())
          .collect(toImmutableList());
    }

    private void addStep(
        HostRecord host, ActivityKind kind, Optional<PoolName> target, String reason) {
      chosen.add(host.host());
      ActivityId id = new ActivityId("capacity-" + host.version());
      steps.add(
          new CapacityPlan.Step(
              new StartActivity(host.host(), id, kind, target, host.version()), reason));
    }
  }

  private static boolean isPoweringOn(HostRecord host) {
    return host.activity().filter(activity -> activity.kind() == ActivityKind.POWER_ON).isPresent();
  }
}
