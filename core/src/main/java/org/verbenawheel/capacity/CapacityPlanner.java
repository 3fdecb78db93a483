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
 * Decides which spare hosts are powered and which hosts are lent between pools. Does no I/O.
 *
 * <p>Bursts are left to the queues, because powering a host on takes far longer than a burst lasts:
 * a pool's need already counts them. A pool that lacks hosts gets powered spares first, then hosts
 * that another pool does not need, and only for the rest are spares powered on. Needs go before
 * waves, and waves before reserves. Hosts go back, and spares off, once they are not wanted and
 * have stayed for the hold time.
 */
public final class CapacityPlanner {
  private final CapacitySettings settings;

  /**
   * Makes a planner.
   *
   * @param settings what it goes by
   */
  public CapacityPlanner(CapacitySettings settings) {
    this.settings = settings;
  }

  /**
   * Returns what to begin now.
   *
   * @param view the pools and hosts
   * @param needs what each pool must keep; a pool that is not here is left alone
   * @param maintenanceDue the pools with hosts that a running maintenance still has to take out
   * @param now the present moment
   */
  public CapacityPlan plan(
      PoolView view,
      ImmutableMap<PoolName, PoolNeed> needs,
      ImmutableSet<PoolName> maintenanceDue,
      Instant now) {
    ImmutableList<PoolBalance> balances =
        needs.values().stream()
            .filter(need -> role(view, need.pool()) == PoolRole.SERVING)
            .map(
                need ->
                    PoolBalance.of(need, view, maintenanceDue.contains(need.pool()), settings, now))
            .collect(toImmutableList());
    Round round = new Round(view, balances, now);
    round.fillMissing();
    round.giveBack();
    round.powerOffIdleSpares();
    return new CapacityPlan(ImmutableList.copyOf(round.steps));
  }

  private static PoolRole role(PoolView view, PoolName pool) {
    PoolSettings known = view.pools().get(pool);
    return known == null ? PoolRole.SPARE : known.role();
  }

  /** The work of one call: takes each host at most once. */
  private final class Round {
    private final PoolView view;
    private final ImmutableList<PoolBalance> balances;
    private final Instant now;
    private final List<CapacityPlan.Step> steps = new ArrayList<>();
    private final Set<HostName> taken = new HashSet<>();
    private final Iterator<HostRecord> poweredSpares;
    private final Iterator<HostRecord> lendable;
    private int missingStill;

    Round(PoolView view, ImmutableList<PoolBalance> balances, Instant now) {
      this.view = view;
      this.balances = balances;
      this.now = now;
      this.poweredSpares = spares(HostCondition.IN_SERVICE).iterator();
      this.lendable = balances.stream().flatMap(balance -> lendableOf(balance).stream()).iterator();
    }

    void fillMissing() {
      WantedHost.byUrgency(balances).forEach(this::fill);
      int coming = (int) spareHosts().filter(CapacityPlanner::isPoweringOn).count();
      ImmutableList<HostRecord> off = spares(HostCondition.OFF);
      for (HostRecord host : Iterables.limit(off, Math.max(0, missingStill - coming))) {
        add(host, ActivityKind.POWER_ON, Optional.empty(), missingStill + " hosts are missing");
      }
    }

    private void fill(WantedHost wanted) {
      PoolBalance balance = wanted.balance();
      Optional<PoolName> target = Optional.of(balance.pool());
      String reason = wanted.purpose() + ": " + balance;
      if (poweredSpares.hasNext()) {
        add(poweredSpares.next(), ActivityKind.LEND, target, reason);
      } else if (wanted.purpose() == WantedHost.Purpose.NEED && lendable.hasNext()) {
        add(lendable.next(), ActivityKind.LEND, target, reason);
      } else {
        missingStill++;
      }
    }

    /** What a pool holds for a wave or in reserve is lent too: another pool needs it now. */
    private ImmutableList<HostRecord> lendableOf(PoolBalance balance) {
      int lendableCount = balance.beyondNeed() - settings.lenderMargin();
      return balance.atWork().stream()
          .filter(this::hasStayed)
          .limit(Math.max(0, lendableCount))
          .collect(toImmutableList());
    }

    void giveBack() {
      ImmutableSet<PoolName> shortPools =
          balances.stream()
              .filter(balance -> balance.beyondNeed() < 0)
              .map(PoolBalance::pool)
              .collect(toImmutableSet());
      for (PoolBalance balance : balances) {
        int left = balance.beyondNeed();
        int unwanted = balance.beyondTarget();
        for (HostRecord host : balance.atWork()) {
          boolean homeIsShort = host.lentFrom().filter(shortPools::contains).isPresent();
          boolean isFree = homeIsShort ? left > 0 : unwanted > 0;
          if (host.lentFrom().isPresent() && isFree && mayGoBack(host)) {
            add(host, ActivityKind.MOVE, host.lentFrom(), "goes back: " + balance);
            left--;
            unwanted--;
          }
        }
      }
    }

    private boolean mayGoBack(HostRecord host) {
      return hasStayed(host) && !taken.contains(host.host());
    }

    void powerOffIdleSpares() {
      if (missingStill > 0) {
        return;
      }
      while (poweredSpares.hasNext()) {
        HostRecord host = poweredSpares.next();
        if (hasStayed(host) && mayBeOff(host.pool())) {
          add(host, ActivityKind.POWER_OFF, Optional.empty(), "no pool lacks hosts");
        }
      }
    }

    private boolean mayBeOff(PoolName pool) {
      PoolSettings known = view.pools().get(pool);
      long powered =
          view.hostsOf(pool).stream()
              .filter(host -> host.condition() == HostCondition.IN_SERVICE)
              .count();
      long goingOff = steps.stream().filter(step -> goesOff(step, pool)).count();
      return known != null && powered - goingOff > known.minimumHosts();
    }

    private boolean goesOff(CapacityPlan.Step step, PoolName pool) {
      HostRecord host = view.hosts().get(step.command().host());
      return step.command().kind() == ActivityKind.POWER_OFF
          && host != null
          && host.pool().equals(pool);
    }

    private boolean hasStayed(HostRecord host) {
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

    private void add(HostRecord host, ActivityKind kind, Optional<PoolName> target, String reason) {
      taken.add(host.host());
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
