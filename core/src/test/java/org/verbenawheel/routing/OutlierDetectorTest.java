package org.verbenawheel.routing;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSet;
import java.time.Instant;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.verbenawheel.identity.EndpointId;

final class OutlierDetectorTest {
  private static final double BUDGET = 0.001;
  private static final Instant NOW = Instant.EPOCH;

  private final ImmutableSet<EndpointId> endpoints =
      IntStream.range(0, 6)
          .mapToObj(index -> new EndpointId("runner-" + index))
          .collect(ImmutableSet.toImmutableSet());
  private final EndpointId first = endpoints.asList().get(0);
  private final OutlierDetector detector = new OutlierDetector();

  @Test
  void ejectsAFailingEndpointAndReadmitsItAfterSuccessfulTrials() {
    failRepeatedly(first);
    assertThat(detector.isEjected(first)).isTrue();
    assertThat(detector.accepts(first, 0, NOW)).isFalse();
    Instant later = NOW.plusSeconds(3);
    assertThat(detector.accepts(first, 0, later)).isTrue();
    assertThat(detector.accepts(first, 1, later)).isFalse();
    for (int trial = 0; trial < 3; trial++) {
      detector.onAttemptEnded(first, false, BUDGET, endpoints, later);
    }
    assertThat(detector.isEjected(first)).isFalse();
  }

  @Test
  void ejectsLongerAfterAFailedTrial() {
    failRepeatedly(first);
    Instant trial = NOW.plusSeconds(2);
    assertThat(detector.onAttemptEnded(first, true, BUDGET, endpoints, trial)).isTrue();
    assertThat(detector.accepts(first, 0, trial.plusSeconds(3))).isFalse();
    assertThat(detector.accepts(first, 0, trial.plusSeconds(4))).isTrue();
  }

  @Test
  void ejectsAtMostAThirdInAFaultOfTheWholeService() {
    for (int round = 0; round < 50; round++) {
      for (EndpointId endpoint : endpoints) {
        detector.onAttemptEnded(endpoint, true, BUDGET, endpoints, NOW);
      }
    }
    assertThat(endpoints.stream().filter(detector::isEjected).count()).isAtMost(2);
  }

  @Test
  void neverEjectsTheOnlyEndpoint() {
    ImmutableSet<EndpointId> onlyEndpoint = ImmutableSet.of(first);
    for (int round = 0; round < 50; round++) {
      detector.onAttemptEnded(first, true, BUDGET, onlyEndpoint, NOW);
    }
    assertThat(detector.isEjected(first)).isFalse();
  }

  private void failRepeatedly(EndpointId endpoint) {
    for (int round = 0; round < 10; round++) {
      detector.onAttemptEnded(endpoint, true, BUDGET, endpoints, NOW);
    }
  }
}
