package org.verbenawheel.worker;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.verbenawheel.codec.MessageCodec;
import org.verbenawheel.peer.MessageKinds;
import org.verbenawheel.peer.PeerMessage;
import org.verbenawheel.replication.ApplyContext;
import org.verbenawheel.replication.ControlCommand;
import org.verbenawheel.replication.DamagedSnapshotException;
import org.verbenawheel.worker.WorkerCommands.EndWorker;
import org.verbenawheel.worker.WorkerCommands.RecordWorker;

/** Tests that a worker which ended stays away, over snapshots too. */
final class WorkerRegistryTest {
  private static final Worker WORKER =
      new Worker(
          "w1",
          10,
          "host",
          "pool",
          "10.0.0.1:80",
          "zone",
          new Worker.Capacity(1_000, 1_000, 0),
          ImmutableList.of(),
          false);

  private final WorkerRegistry registry = new WorkerRegistry();
  private Instant now = Instant.parse("2026-01-01T00:00:00Z");
  private long index;

  @Test
  void endedWorkerStaysAwayAfterASnapshot() throws DamagedSnapshotException {
    apply(new RecordWorker(WORKER));
    apply(new EndWorker("w1", 10));
    WorkerRegistry restored = new WorkerRegistry();
    restored.restore(registry.snapshot());

    restored.apply(new RecordWorker(WORKER), new ApplyContext(1, now));

    assertThat(restored.all()).isEmpty();
    assertThat(restored.hasEnded(WORKER)).isTrue();
    assertThat(restored.hasEnded(WORKER.withBornAtMilliseconds(11))).isFalse();
  }

  // Without a start its incarnations can't be told apart.
  @Test
  void workerThatReportsNoStartMayReturn() {
    Worker withoutStart = WORKER.withBornAtMilliseconds(0);
    apply(new RecordWorker(withoutStart));
    apply(new EndWorker("w1", 0));

    apply(new RecordWorker(withoutStart));

    assertThat(registry.all()).containsExactly(withoutStart);
  }

  @Test
  void endIsForgottenOnceNoReportCanBeThatLate() {
    apply(new EndWorker("w1", 10));
    now = now.plus(Duration.ofMinutes(11));
    apply(new EndWorker("w2", 10));

    assertThat(registry.hasEnded(WORKER)).isFalse();
  }

  @Test
  void snapshotOfAnEarlierVersionIsRead() throws DamagedSnapshotException {
    MessageCodec codec =
        new MessageCodec(MessageKinds.builder().add(1, EarlierSnapshot.class).build());

    registry.restore(codec.encode(new EarlierSnapshot(ImmutableList.of(WORKER))));

    assertThat(registry.all()).containsExactly(WORKER);
  }

  private void apply(ControlCommand command) {
    registry.apply(command, new ApplyContext(++index, now));
  }

  /** The snapshot before ends were stored. */
  record EarlierSnapshot(ImmutableList<Worker> workers) implements PeerMessage {}
}
