package org.verbenawheel.capacity;

import static com.google.common.collect.ImmutableList.toImmutableList;
import static java.util.Comparator.comparing;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * A host that a pool wants, and its urgency.
 *
 * @param balance the balance of the pool
 * @param purpose what the host is wanted for
 * @param missingShare the hosts that the pool wants before it gets this one, as a share of its need
 */
record WantedHost(PoolBalance balance, Purpose purpose, double missingShare) {
  /** What a host is wanted for, most urgent first. */
  enum Purpose {
    NEED,
    WAVE,
    RESERVE
  }

  private static final Comparator<WantedHost> MOST_URGENT_FIRST =
      comparing(WantedHost::purpose)
          .thenComparing(comparing(WantedHost::missingShare).reversed())
          .thenComparing(wanted -> wanted.balance().need().budgetLeft());

  /**
   * Returns every host that the pools want, most urgent first. Among hosts for the same purpose,
   * the pool that lacks the largest share comes first, which spreads a shortage over the pools.
   */
  static ImmutableList<WantedHost> byUrgency(ImmutableList<PoolBalance> balances) {
    return balances.stream()
        .flatMap(WantedHost::of)
        .sorted(MOST_URGENT_FIRST)
        .collect(toImmutableList());
  }

  private static Stream<WantedHost> of(PoolBalance balance) {
    int missing = balance.wanted();
    int missingForNeed = Math.min(missing, Math.max(0, -balance.surplusOverNeed()));
    int missingForWave = Math.min(balance.forWave(), missing - missingForNeed);
    return IntStream.range(0, missing)
        .mapToObj(
            position ->
                new WantedHost(
                    balance,
                    purposeOf(position, missingForNeed, missingForWave),
                    (missing - position) / (double) balance.need().hosts()));
  }

  private static Purpose purposeOf(int position, int missingForNeed, int missingForWave) {
    if (position < missingForNeed) {
      return Purpose.NEED;
    }
    return position < missingForNeed + missingForWave ? Purpose.WAVE : Purpose.RESERVE;
  }
}
