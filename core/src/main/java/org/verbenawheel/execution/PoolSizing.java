package org.verbenawheel.execution;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Decides which hosts change their pool. Idle hosts that their pool can spare are parked in the
 * standby pool, where they are off. Pools whose demand exceeds their capacity get hosts from the
 * standby pool or from pools that have too many. Makes no calls and reads no clock.
 */
final class PoolSizing {
  /** Capacity that a pool is given per unit of demand, since tasks do not pack without gaps. */
  private static final double HEADROOM = 1.15;

  /**
   * Share of a recent peak that a pool keeps: its next peak begins seconds before lent hosts
   * arrive.
   */
  private static final double PEAK_SHARE_KEPT_WHEN_PARKING = 0.85;

  /** Share of a recent peak that a pool keeps when idle hosts that were lent to it are parked. */
  private static final double PEAK_SHARE_KEPT_WHEN_RETURNING = 0.5;

  /** A peak decays by half in this time, so that a pool that stays quiet shrinks. */
  private static final Duration PEAK_HALF_LIFE = Duration.ofSeconds(60);

  /** Workers start and report to a new leader within this time, even if all start together. */
  private static final Duration SETTLING_TIME = Duration.ofSeconds(6);

  private final Duration idleBeforeParking;
  private final Duration shortageBeforeLending;
  private final Map<String, Instant> shortageSince = new HashMap<>();
  private final Map<String, Double> peaks = new HashMap<>();
  private Optional<Instant> firstDecidedAt = Optional.empty();
  private Optional<Instant> lastDecidedAt = Optional.empty();

  /**
   * Creates a sizing that has recorded no peaks yet.
   *
   * @param idleBeforeParking how long a host must have been idle before it is parked
   * @param shortageBeforeLending how long a shortage must have lasted before hosts are lent for it
   */
  PoolSizing(Duration idleBeforeParking, Duration shortageBeforeLending) {
    this.idleBeforeParking = idleBeforeParking;
    this.shortageBeforeLending = shortageBeforeLending;
  }

  /**
   * A host in a pool that runs tasks.
   *
   * @param host its name
   * @param pool its pool
   * @param millicores the capacity of its worker, in thousandths of a core
   * @param labels what tasks may require of it
   * @param idleSince since when it has been idle; empty if it is busy or must stay
   * @param borrowed whether it was lent to its pool
   * @param awaitsMaintenance whether it waits for its maintenance, so that no other pool gets it
   */
  record Member(
      String host,
      String pool,
      long millicores,
      Set<String> labels,
      Optional<Instant> idleSince,
      boolean borrowed,
      boolean awaitsMaintenance) {}

  /**
   * A change of a host's pool.
   *
   * @param host the host
   * @param pool the pool that it joins
   * @param reason why, for the log
   * @param demandMillicores the demand of the pool that grows or shrinks
   * @param capacityMillicores the capacity of that pool, including arriving hosts
   */
  record Transfer(
      String host, String pool, String reason, long demandMillicores, long capacityMillicores) {}

  /**
   * The state of the fleet that one round of decisions is based on. All maps are by pool, in
   * thousandths of a core.
   *
   * @param members the hosts that can run tasks now
   * @param parked hosts of the standby pool that may be lent
   * @param arrivingMillicores the capacity of hosts that are moving to a pool
   * @param demandMillicores the demand of each pool's jobs
   * @param shortageMillicores the needs of waiting tasks that no worker has a place for
   * @param usedMillicores what the tasks bound to each pool's workers use
   * @param standby the pool whose hosts are off
   * @param impossible transfers that the platform cannot carry out
   */
  record Inputs(
      List<Member> members,
      List<String> parked,
      Map<String, Long> arrivingMillicores,
      ImmutableMap<String, Long> demandMillicores,
      Map<String, Long> shortageMillicores,
      Map<String, Long> usedMillicores,
      String standby,
      Set<Transfer> impossible) {}

  /** Returns the transfers to order now. */
  ImmutableList<Transfer> decide(Inputs inputs, Instant now) {
    if (firstDecidedAt.isEmpty()) {
      firstDecidedAt = Optional.of(now);
    }
    Map<String, Long> capacity = new HashMap<>();
    inputs
        .members()
        .forEach(member -> capacity.merge(member.pool(), member.millicores(), Long::sum));
    updatePeaks(capacity, inputs.usedMillicores(), now);
    updateShortages(inputs.shortageMillicores(), now);
    Round round = new Round(inputs, capacity, now);
    round.lend();
    if (!isSettling(now)) {
      round.park();
    }
    return ImmutableList.copyOf(round.transfers);
  }

  private void updateShortages(Map<String, Long> shortages, Instant now) {
    shortageSince.keySet().removeIf(pool -> shortages.getOrDefault(pool, 0L) == 0);
    shortages.forEach(
        (pool, millicores) -> {
          if (millicores > 0) {
            shortageSince.putIfAbsent(pool, now);
          }
        });
  }

  /** Returns whether workers may still have to report after a change of leader. */
  private boolean isSettling(Instant now) {
    return firstDecidedAt.filter(first -> now.isAfter(first.plus(SETTLING_TIME))).isEmpty();
  }

  /**
   * Decays the peaks and raises them to the present use. A pool seen for the first time counts as
   * just past a peak of its whole capacity, so that it shrinks slowly.
   */
  private void updatePeaks(Map<String, Long> capacity, Map<String, Long> used, Instant now) {
    double halfLives =
        lastDecidedAt
            .map(
                before ->
                    Duration.between(before, now).toMillis() / (double) PEAK_HALF_LIFE.toMillis())
            .orElse(0.0);
    lastDecidedAt = Optional.of(now);
    double decayFactor = Math.pow(0.5, halfLives);
    peaks.replaceAll((pool, peak) -> peak * decayFactor);
    if (isSettling(now)) {
      capacity.forEach((pool, millicores) -> peaks.merge(pool, (double) millicores, Math::max));
    }
    capacity.forEach((pool, millicores) -> peaks.putIfAbsent(pool, (double) millicores));
    used.forEach((pool, millicores) -> peaks.merge(pool, (double) millicores, Math::max));
  }

  /** One round of decisions. */
  private final class Round {
    private final Inputs inputs;
    private final Map<String, Long> capacity;
    private final Instant now;
    private final List<Member> idle = new ArrayList<>();
    private final List<String> parked;
    private final List<Transfer> transfers = new ArrayList<>();

    Round(Inputs inputs, Map<String, Long> capacity, Instant now) {
      this.inputs = inputs;
      this.capacity = capacity;
      this.now = now;
      this.parked = new ArrayList<>(inputs.parked());
      inputs.members().stream()
          .filter(member -> member.idleSince().isPresent())
          .sorted(
              Comparator.comparing((Member member) -> !member.borrowed())
                  .thenComparing(member -> member.idleSince().orElse(now)))
          .forEach(idle::add);
    }

    void lend() {
      Set<String> poolsInNeed = new HashSet<>(inputs.demandMillicores().keySet());
      poolsInNeed.addAll(inputs.shortageMillicores().keySet());
      poolsInNeed.remove(inputs.standby());
      List<String> pools = new ArrayList<>(poolsInNeed);
      pools.sort(Comparator.comparing(pool -> -missingMillicores(pool)));
      for (String pool : pools) {
        long missingMillicores = missingMillicores(pool);
        while (missingMillicores > 0) {
          Optional<Long> lentMillicores = lendTo(pool);
          if (lentMillicores.isEmpty()) {
            break;
          }
          missingMillicores -= lentMillicores.get();
        }
      }
    }

    private long missingMillicores(String pool) {
      long arriving = inputs.arrivingMillicores().getOrDefault(pool, 0L);
      long expectedMillicores = capacity.getOrDefault(pool, 0L) + arriving;
      return Math.max(
          targetMillicores(pool) - expectedMillicores, unplacedMillicores(pool) - arriving);
    }

    /**
     * Returns the lasting shortage of a pool. It may have enough capacity in total while tasks wait
     * for a label, a rack or a worker of their own.
     */
    private long unplacedMillicores(String pool) {
      Instant since = shortageSince.get(pool);
      boolean hasLasted = since != null && !now.isBefore(since.plus(shortageBeforeLending));
      return hasLasted ? inputs.shortageMillicores().getOrDefault(pool, 0L) : 0;
    }

    private long targetMillicores(String pool) {
      return (long) (inputs.demandMillicores().getOrDefault(pool, 0L) * HEADROOM);
    }

    /**
     * Lends one host to a pool and returns its capacity, in thousandths of a core; empty if no host
     * can be lent.
     */
    private Optional<Long> lendTo(String pool) {
      for (String host : parked) {
        if (addTransfer(host, pool, pool, "the pool's jobs ask for more than it has")) {
          parked.remove(host);
          return Optional.of(typicalMillicores());
        }
      }
      for (Member member : idle) {
        boolean canLend =
            !member.pool().equals(pool)
                && !member.awaitsMaintenance()
                && canSpare(member, 0)
                && othersOfferLabelsOf(member);
        if (canLend && addTransfer(member.host(), pool, pool, "another pool has it idle")) {
          removeFromPool(member);
          return Optional.of(member.millicores());
        }
      }
      return Optional.empty();
    }

    void park() {
      for (Member member : List.copyOf(idle)) {
        boolean longIdle =
            member.idleSince().filter(at -> now.isAfter(at.plus(idleBeforeParking))).isPresent();
        double shareOfPeak =
            member.borrowed() ? PEAK_SHARE_KEPT_WHEN_RETURNING : PEAK_SHARE_KEPT_WHEN_PARKING;
        if (longIdle
            && canSpare(member, shareOfPeak)
            && othersOfferLabelsOf(member)
            && addTransfer(
                member.host(),
                inputs.standby(),
                member.pool(),
                "idle and not needed by its pool")) {
          removeFromPool(member);
        }
      }
    }

    /** Returns whether the other hosts of a member's pool have enough capacity together. */
    private boolean canSpare(Member member, double shareOfPeak) {
      long othersMillicores = capacity.getOrDefault(member.pool(), 0L) - member.millicores();
      double keptOfPeak = peaks.getOrDefault(member.pool(), 0.0) * shareOfPeak;
      // One idle host beyond the demand stays, to cover the loss of one.
      return othersMillicores >= keptOfPeak
          && othersMillicores >= targetMillicores(member.pool()) + member.millicores();
    }

    /** Returns whether the other hosts of a member's pool still offer each of its labels. */
    private boolean othersOfferLabelsOf(Member member) {
      return member.labels().stream()
          .allMatch(
              label ->
                  inputs.members().stream()
                      .filter(other -> !other.equals(member) && other.pool().equals(member.pool()))
                      .filter(other -> !isTransferred(other))
                      .anyMatch(other -> other.labels().contains(label)));
    }

    private boolean isTransferred(Member member) {
      return transfers.stream().anyMatch(transfer -> transfer.host().equals(member.host()));
    }

    /**
     * Adds a transfer and returns true, unless the platform cannot carry it out.
     *
     * @param sizedPool the pool whose demand is the reason
     */
    private boolean addTransfer(String host, String pool, String sizedPool, String reason) {
      boolean possible =
          inputs.impossible().stream()
              .noneMatch(failed -> failed.host().equals(host) && failed.pool().equals(pool));
      long demand = inputs.demandMillicores().getOrDefault(sizedPool, 0L);
      long expectedMillicores =
          capacity.getOrDefault(sizedPool, 0L)
              + inputs.arrivingMillicores().getOrDefault(sizedPool, 0L);
      return possible
          && transfers.add(new Transfer(host, pool, reason, demand, expectedMillicores));
    }

    private void removeFromPool(Member member) {
      idle.remove(member);
      capacity.merge(member.pool(), -member.millicores(), Long::sum);
    }

    private long typicalMillicores() {
      return Math.max(1, inputs.members().stream().mapToLong(Member::millicores).max().orElse(1));
    }
  }
}
