package org.verbenawheel.execution;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.verbenawheel.execution.HostCalls.Host;
import org.verbenawheel.execution.HostCalls.HostState;
import org.verbenawheel.job.StepSpecification;
import org.verbenawheel.queue.FleetConfiguration;
import org.verbenawheel.queue.InstallConfiguration;
import org.verbenawheel.queue.WorkerPool;
import org.verbenawheel.wave.UpkeepPhase;
import org.verbenawheel.wave.WaveCommands.StartWave;

/** Tests maintenance waves against lists of hosts that are old, late or incomplete. */
final class WaveHostListTest {
  private final FleetHarness harness = new FleetHarness();

  @BeforeEach
  void configure() {
    harness.apply(
        new InstallConfiguration(
            new FleetConfiguration(
                1, ImmutableList.of(), ImmutableList.of(new WorkerPool("p", false, true)), "{}")));
  }

  // The second wave was said to be completed, though its new host had no maintenance.
  @Test
  void hostAddedBetweenTwoWavesIsMaintainedInTheSecond() {
    addHost("w1");
    startWave(1, "host-w1");
    harness.advance(Duration.ofSeconds(5));
    assertThat(phases(1)).containsExactly("host-w1", UpkeepPhase.FINISHED);
    addHost("w2");

    startWave(2, "host-w2");
    harness.advance(Duration.ofSeconds(5));

    assertThat(harness.hosts().maintained()).containsExactly("host-w1", "host-w2").inOrder();
    assertThat(phases(2)).containsExactly("host-w2", UpkeepPhase.FINISHED);
  }

  // A list that was requested before the wave began says nothing about its hosts.
  @Test
  void hostAddedWhileAnEarlierListIsUnderWayIsMaintained() {
    addHost("w1");
    startWave(1, "host-w1");
    harness.hosts().holdLists(true);
    harness.advance(Duration.ofMillis(200));
    addHost("w2");
    startWave(2, "host-w2");
    harness.advance(Duration.ofMillis(50));
    harness.hosts().holdLists(false);
    harness.advance(Duration.ofSeconds(8));

    assertThat(harness.hosts().maintained()).containsExactly("host-w1", "host-w2");
    assertThat(phases(2)).containsExactly("host-w2", UpkeepPhase.FINISHED);
  }

  // One incomplete list ended the maintenance of the hosts that it lacked.
  @Test
  void hostThatOneListLacksIsMaintained() {
    addHost("w1");
    harness.hosts().omitOnce("host-w1");

    startWave(1, "host-w1");
    harness.advance(Duration.ofSeconds(8));

    assertThat(harness.hosts().maintained()).containsExactly("host-w1");
  }

  @Test
  void hostThatIsGoneIsFinished() {
    startWave(1, "host-w1");

    harness.advance(Duration.ofSeconds(8));

    assertThat(harness.hosts().maintained()).isEmpty();
    assertThat(phases(1)).containsExactly("host-w1", UpkeepPhase.FINISHED);
  }

  @Test
  void hostAddedBetweenTwoWavesIsMaintainedByANewLeader() {
    addHost("w1");
    startWave(1, "host-w1");
    harness.advance(Duration.ofSeconds(5));
    addHost("w2");
    startWave(2, "host-w2");
    harness.changeLeader();

    harness.advance(Duration.ofSeconds(5));

    assertThat(harness.hosts().maintained()).containsExactly("host-w1", "host-w2").inOrder();
  }

  // A host that comes back in another pool keeps its name.
  @Test
  void hostThatWasRemovedAndAddedAgainIsMaintained() {
    addHost("w1");
    startWave(1, "host-w1");
    harness.advance(Duration.ofSeconds(5));
    harness.hosts().remove("host-w1");
    addHost("w2");
    startWave(2, "host-w2");
    harness.advance(Duration.ofSeconds(5));
    addHost("w1");

    startWave(3, "host-w1");
    harness.advance(Duration.ofSeconds(5));

    assertThat(harness.hosts().maintained())
        .containsExactly("host-w1", "host-w2", "host-w1")
        .inOrder();
  }

  // A worker that the list does not name yet must not be ended with its tasks.
  @Test
  void hostWithAnAnsweringWorkerIsNotTakenForGone() {
    harness.report("w1");
    harness.submit("a", StepSpecification.builder().longRunning(true).build());
    harness.advance(Duration.ofMillis(300));
    startWave(1, "host-w1");

    harness.advance(Duration.ofSeconds(8));

    assertThat(phases(1)).containsExactly("host-w1", UpkeepPhase.PENDING);
    assertThat(harness.worker("w1").running()).hasSize(1);
  }

  private void addHost(String worker) {
    harness.report(worker);
    harness.hosts().add(new Host("host-" + worker, "p", HostState.UP, Optional.of(worker)));
  }

  private void startWave(long number, String host) {
    harness.apply(new StartWave(number, ImmutableList.of(host), 60_000, 1));
  }

  private ImmutableMap<String, UpkeepPhase> phases(long wave) {
    return harness.wave(wave).hosts();
  }
}
