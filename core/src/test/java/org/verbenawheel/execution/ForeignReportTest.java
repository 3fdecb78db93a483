package org.verbenawheel.execution;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.verbenawheel.job.StepSpecification;
import org.verbenawheel.worker.WorkerCommands.RecordWorker;

/**
 * Tests that reports of another installation, whose addresses may be those of workers here, change
 * nothing.
 */
final class ForeignReportTest {
  private static final String FOREIGN_POOL = "not-named-here";

  // The live worker was forgotten, and its tasks ran a second time on another one.
  @Test
  void reportOfAnUnknownPoolDoesNotReplaceTheLiveWorkerAtItsAddress() {
    FleetHarness fleet = new FleetHarness();
    fleet.report("w1");
    fleet.submit("a", StepSpecification.builder().taskCount(3).build());
    fleet.advance(Duration.ofMillis(200));
    fleet.report("w2");

    fleet.reportAtAddressOf("w1", "ghost", 5_000, FOREIGN_POOL);
    fleet.advance(Duration.ofMillis(500));
    fleet.report("w1");
    fleet.advance(Duration.ofSeconds(10));

    assertThat(fleet.isRegistered("ghost")).isFalse();
    assertThat(fleet.isRegistered("w1")).isTrue();
    assertThat(fleet.worker("w1").running()).containsExactly("a.0.0.0/1", "a.0.0.1/1", "a.0.0.2/1");
    assertThat(fleet.startedTwice()).isEmpty();
  }

  // An acknowledged report is not sent again until the next one is due.
  @Test
  void reportBeforeTheFirstConfigurationIsNotAcknowledged() {
    FleetHarness fleet = FleetHarness.withoutConfiguration();

    fleet.report("w1");
    assertThat(fleet.isLastReportAcknowledged()).isFalse();
    assertThat(fleet.isRegistered("w1")).isFalse();

    fleet.configurePools(1, "p");
    fleet.report("w1");
    assertThat(fleet.isLastReportAcknowledged()).isTrue();
    assertThat(fleet.isRegistered("w1")).isTrue();
  }

  // Workers of a pool that an operator adds would stay unused.
  @Test
  void workersOfAnAddedPoolJoinWithTheirNextReport() {
    FleetHarness fleet = new FleetHarness();
    fleet.report("w1");
    fleet.reportAtAddressOf("w1", "new", -5_000, "added");
    assertThat(fleet.isRegistered("new")).isFalse();

    fleet.configurePools(1, "p", "added");
    fleet.leave("w1");
    fleet.reportAtAddressOf("w1", "new", -5_000, "added");

    assertThat(fleet.isRegistered("new")).isTrue();
  }

  // A job that was accepted before its pool was removed would never end.
  @Test
  void workerOfARemovedPoolJoinsWhileAJobNeedsIt() {
    FleetHarness fleet = new FleetHarness();
    fleet.submit("a", StepSpecification.builder().build());
    fleet.configurePools(1, "other");

    fleet.report("w1");
    fleet.advance(Duration.ofMillis(500));

    assertThat(fleet.worker("w1").running()).containsExactly("a.0.0.0/1");
  }

  // Workers that earlier versions recorded would keep the live ones at their addresses out.
  @Test
  void newLeaderForgetsRecordedWorkersOfUnknownPools() {
    FleetHarness fleet = new FleetHarness();
    fleet.report("w1");
    fleet.apply(new RecordWorker(fleet.describeAtAddressOf("w1", "ghost", 5_000, FOREIGN_POOL)));

    fleet.changeLeader();
    fleet.advance(Duration.ofMillis(200));

    assertThat(fleet.isRegistered("ghost")).isFalse();
    assertThat(fleet.isRegistered("w1")).isTrue();
  }
}
