package org.verbenawheel.capacity;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.verbenawheel.configuration.Configuration;
import org.verbenawheel.configuration.PoolRole;
import org.verbenawheel.configuration.PoolSettings;
import org.verbenawheel.configuration.ServiceSettings;
import org.verbenawheel.configuration.VersionedConfiguration;
import org.verbenawheel.identity.PoolName;
import org.verbenawheel.identity.ServiceName;

final class DemandLearnerTest {
  private static final ServiceName SERVICE = new ServiceName("hobart-desk");
  private static final double BUDGET = 0.001;
  private static final Instant START = Instant.parse("2026-12-04T08:00:00Z");

  private final DemandLearner learner = new DemandLearner(SERVICE);

  @Test
  void returnsNoDemandBeforeTheMeanHasSettled() {
    addSamples(0, 599, 0);
    assertThat(learner.demand(BUDGET)).isEmpty();
  }

  @Test
  void estimatesMeanPeakAndBurstLength() {
    addSamples(0, 2_600, 0);
    ServiceDemand demand = learner.demand(BUDGET).orElseThrow();
    assertThat(demand.meanSlots()).isWithin(4).of(20);
    assertThat(demand.peakSlots()).isEqualTo(100);
    assertThat(demand.peakSeconds()).isWithin(1).of(5);
    assertThat(demand.budgetSpent()).isEqualTo(0);
  }

  @Test
  void countsSpentBudgetOverItsWindowAndDropsItAfterwards() {
    addSamples(0, 2_600, 0.02);
    double spent = learner.demand(BUDGET).orElseThrow().budgetSpent();
    double expected = 0.02 * 2_600 / (BUDGET * DemandLearner.BUDGET_WINDOW.toSeconds());
    assertThat(spent).isWithin(0.02).of(expected);
    addSamples(2_600, (int) DemandLearner.BUDGET_WINDOW.plus(Duration.ofHours(2)).toSeconds(), 0);
    assertThat(learner.demand(BUDGET).orElseThrow().budgetSpent()).isEqualTo(0);
  }

  @Test
  void countsAResentSampleOnce() {
    addSamples(0, 2_600, 0.02);
    ServiceDemand before = learner.demand(BUDGET).orElseThrow();
    addSamples(0, 2_600, 0.02);
    assertThat(learner.demand(BUDGET).orElseThrow()).isEqualTo(before);
  }

  @Test
  void poolNeedsAreReportedOnlyWhileTheDemandIsKnownAndFresh() {
    PoolName pool = new PoolName("hobart-desk");
    ServiceSettings settings = ServiceSettings.builder(SERVICE, pool).build();
    Configuration configuration =
        new Configuration(
            "derwent",
            ImmutableMap.of(SERVICE, settings),
            ImmutableMap.of(pool, new PoolSettings(pool, PoolRole.SERVING, 2, 9)));
    DemandBoard tracker = new DemandBoard(() -> new VersionedConfiguration(1, configuration));
    assertThat(tracker.needs(START)).isEmpty();
    for (int second = 0; second < 1_300; second++) {
      double offered = second % 26 < 5 ? 100 : 1;
      tracker.add(new DemandSample(SERVICE, START.plusSeconds(second), offered, 0));
    }
    Instant end = START.plusSeconds(1_300);
    assertThat(tracker.needs(end)).containsEntry(pool, new PoolNeed(pool, 7, 0.001));
    assertThat(tracker.needs(end.plus(PoolNeed.DEMAND_LIFETIME).plusSeconds(9))).isEmpty();
  }

  /** Adds bursts of 100 slots for 5 seconds of every 26, and 1 slot between them. */
  private void addSamples(int fromSecond, int toSecond, double unansweredShare) {
    for (int second = fromSecond; second < toSecond; second++) {
      double offered = second % 26 < 5 ? 100 : 1;
      learner.add(
          new DemandSample(SERVICE, START.plusSeconds(second), offered, offered * unansweredShare));
    }
  }
}
