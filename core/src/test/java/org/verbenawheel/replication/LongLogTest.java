package org.verbenawheel.replication;

import static com.google.common.truth.Truth.assertThat;
import static org.awaitility.Awaitility.await;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.verbenawheel.codec.MessageCodec;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.peer.MessageKinds;
import org.verbenawheel.storage.FakeFolder;
import org.verbenawheel.supervision.PartFailedException;
import org.verbenawheel.time.MonotonicInstantSource;

/** Replaces one long value many times, as operators do who change a large configuration. */
final class LongLogTest {
  private static final ProcessId PROCESS = new ProcessId("control-1");
  private static final int VALUE_LENGTH = 300 * 1024;
  private static final long MAXIMUM_LOG_BYTES = 2L * 1024 * 1024;
  private static final long SEGMENT_BYTES = 8L * 1024 * 1024;
  private static final long UNCOMPRESSED_BYTES = 16L * 1024 * 1024;
  private static final int CHANGES = 120;
  private static final MessageCodec CODEC =
      new MessageCodec(
          MessageKinds.builder()
              .addAll(ReplicationMessages.KINDS)
              .add(900, Replace.class)
              .add(901, Replaced.class)
              .build());

  private final FakeFolder folder = new FakeFolder();
  private final FakeLinks links = new FakeLinks(CODEC);
  private LastValue state = new LastValue();
  private ReplicaProcess replica = newReplica(MAXIMUM_LOG_BYTES);

  @AfterEach
  void stop() {
    replica.stop(Duration.ZERO);
    links.close();
  }

  // CONFIG and LOST, review/6: snapshots were due by the number of entries alone, so that some
  // hundred changes of a large configuration filled the heap and the disk of each control process.
  @Test
  void logOfLongCommandsIsReplacedBySnapshots() throws Exception {
    replica.start(failure -> {});
    await().until(replica::mayDecide);
    for (int number = 1; number <= CHANGES; number++) {
      replace(number);
      assertThat(replica.status().orElseThrow().logBytes())
          .isAtMost(2 * MAXIMUM_LOG_BYTES + VALUE_LENGTH);
    }
    await().until(() -> folderBytes() <= 2 * MAXIMUM_LOG_BYTES + SEGMENT_BYTES);
    await()
        .until(() -> replica.logFileBytes().orElseThrow() <= 2 * MAXIMUM_LOG_BYTES + SEGMENT_BYTES);

    restart(MAXIMUM_LOG_BYTES);

    assertThat(replica.read(() -> state.value).get(10, TimeUnit.SECONDS)).isEqualTo(value(CHANGES));
  }

  // CONFIG and LOST, review/6: a log that was written without snapshots filled the heap again at
  // each start.
  @Test
  void logWithoutSnapshotsIsRecoveredInLessMemoryThanItTakesOnDisk() throws Exception {
    replica = newReplica(Long.MAX_VALUE);
    replica.start(failure -> {});
    await().until(replica::mayDecide);
    for (int number = 1; number <= CHANGES; number++) {
      replace(number);
    }
    await().until(() -> replica.logFileBytes().orElseThrow() >= (long) CHANGES * VALUE_LENGTH);

    replica.stop(Duration.ZERO);
    RecoveredState recovered = ReplicaStore.open(folder).recovered();

    long storedBytes =
        recovered.entries().stream().mapToLong(entry -> entry.payload().storedLength()).sum();
    assertThat(storedBytes).isLessThan(UNCOMPRESSED_BYTES + CHANGES * VALUE_LENGTH / 10);

    restart(MAXIMUM_LOG_BYTES);
    assertThat(replica.read(() -> state.value).get(10, TimeUnit.SECONDS)).isEqualTo(value(CHANGES));
    await()
        .until(() -> replica.status().orElseThrow().logBytes() <= MAXIMUM_LOG_BYTES + VALUE_LENGTH);
    await().until(() -> folderBytes() <= 2 * MAXIMUM_LOG_BYTES + SEGMENT_BYTES);
  }

  private ReplicaProcess newReplica(long maximumLogBytes) {
    state = new LastValue();
    ReplicaProcess created =
        ReplicaProcess.builder(PROCESS, MonotonicInstantSource.startingNow())
            .initialVoters(ImmutableList.of(PROCESS))
            .dataFolder(() -> folder)
            .links(links.of(PROCESS))
            .codec(CODEC)
            .addPart(state)
            .timings(
                new ReplicationTimings(
                    Duration.ofMillis(50), Duration.ofMillis(200), Duration.ofMillis(150)))
            .maximumLogBytes(maximumLogBytes)
            .build();
    links.register(PROCESS, created);
    return created;
  }

  private void restart(long maximumLogBytes) throws PartFailedException {
    replica.stop(Duration.ZERO);
    replica = newReplica(maximumLogBytes);
    replica.start(failure -> {});
    await().until(replica::mayDecide);
  }

  private void replace(int number)
      throws ExecutionException, InterruptedException, TimeoutException {
    replica
        .submit(new CommandEnvelope(Optional.empty(), new Replace(value(number))))
        .get(10, TimeUnit.SECONDS);
  }

  private static String value(int number) {
    String line = "queue-" + number + " ";
    return line.repeat(VALUE_LENGTH / line.length() + 1);
  }

  private long folderBytes() {
    return folder.list().stream().mapToLong(name -> folder.read(name).length).sum();
  }

  /** Replaces the value. */
  record Replace(String value) implements ControlCommand {}

  /** The reply to {@link Replace}. */
  record Replaced() implements CommandReply {}

  /** A part of the state that holds the last value. */
  private static final class LastValue implements StatePart {
    private volatile String value = "";

    @Override
    public String name() {
      return "value";
    }

    @Override
    public ImmutableSet<Class<? extends ControlCommand>> commandKinds() {
      return ImmutableSet.of(Replace.class);
    }

    @Override
    public CommandReply apply(ControlCommand command, ApplyContext context) {
      value = ((Replace) command).value();
      return new Replaced();
    }

    @Override
    public byte[] snapshot() {
      return value.getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public void restore(byte[] snapshot) {
      value = new String(snapshot, StandardCharsets.UTF_8);
    }

    @Override
    public Object dump() {
      return value.length();
    }
  }
}
