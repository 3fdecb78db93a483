package org.verbenawheel.supervision;

import static com.google.common.truth.Truth.assertThat;
import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;

final class SupervisorTest {
  private final List<String> events = Collections.synchronizedList(new ArrayList<>());
  private final FakePart first = new FakePart("first");
  private final FakePart second = new FakePart("second");
  private final FakePart third = new FakePart("third");

  @Test
  void startsInOrderAndStopsInReverseOrder() throws PartFailedException {
    Supervisor supervisor = supervisor(RestartStrategy.ONE_FOR_ONE, 1);
    supervisor.start(failure -> {});
    supervisor.stop(Duration.ZERO);
    assertThat(events)
        .containsExactly(
            "start first", "start second", "start third", "stop third", "stop second", "stop first")
        .inOrder();
  }

  @Test
  void oneForOneRestartsOnlyTheFailedPart() throws PartFailedException {
    assertRestarts(RestartStrategy.ONE_FOR_ONE, "stop second", "start second");
  }

  @Test
  void restForOneRestartsTheFailedPartAndThoseAfterIt() throws PartFailedException {
    assertRestarts(
        RestartStrategy.REST_FOR_ONE, "stop third", "stop second", "start second", "start third");
  }

  @Test
  void oneForAllRestartsAllParts() throws PartFailedException {
    assertRestarts(
        RestartStrategy.ONE_FOR_ALL,
        "stop third",
        "stop second",
        "stop first",
        "start first",
        "start second",
        "start third");
  }

  @Test
  void stopsStartedPartsWhenALaterPartCannotStart() {
    third.failsToStart = true;
    Supervisor supervisor = supervisor(RestartStrategy.ONE_FOR_ONE, 1);
    assertThrows(PartFailedException.class, () -> supervisor.start(failure -> {}));
    assertThat(events)
        .containsExactly("start first", "start second", "stop second", "stop first")
        .inOrder();
  }

  @Test
  void stopsAllPartsAndReportsAFailureBeyondTheRestartLimit() throws PartFailedException {
    List<PartFailedException> escalated = Collections.synchronizedList(new ArrayList<>());
    Supervisor supervisor = supervisor(RestartStrategy.ONE_FOR_ONE, 1);
    supervisor.start(escalated::add);
    second.fail();
    await().until(() -> Collections.frequency(events, "start second") == 2);
    second.fail();
    await().until(() -> !escalated.isEmpty());
    assertThat(escalated.get(0)).hasMessageThat().contains("gave up on part second");
    assertThat(events).contains("stop first");
  }

  private void assertRestarts(RestartStrategy strategy, String... expected)
      throws PartFailedException {
    Supervisor supervisor = supervisor(strategy, 1);
    supervisor.start(failure -> {});
    events.clear();
    second.fail();
    await().untilAsserted(() -> assertThat(events).hasSize(expected.length));
    assertThat(events).containsExactlyElementsIn(expected).inOrder();
  }

  private Supervisor supervisor(RestartStrategy strategy, int maximumRestarts) {
    return Supervisor.builder("root", InstantSource.system())
        .strategy(strategy)
        .limit(new RestartLimit(maximumRestarts, Duration.ofMinutes(1)))
        .add(first)
        .add(second)
        .add(third)
        .build();
  }

  /** Records its starts and stops, and fails when {@link #fail} is called. */
  private final class FakePart implements SupervisedPart {
    private final String name;
    private FailureListener failures = failure -> {};
    private boolean failsToStart;

    FakePart(String name) {
      this.name = name;
    }

    @Override
    public String name() {
      return name;
    }

    @Override
    public void start(FailureListener listener) throws PartFailedException {
      if (failsToStart) {
        throw new PartFailedException(name + " cannot start");
      }
      failures = listener;
      events.add("start " + name);
    }

    @Override
    public void stop(Duration grace) {
      events.add("stop " + name);
    }

    void fail() {
      failures.onFailure(new PartFailedException(name + " failed"));
    }
  }
}
