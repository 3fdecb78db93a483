package org.verbenawheel.replication;

import static com.google.common.truth.Truth.assertThat;
import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableList;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.storage.FakeFolder;
import org.verbenawheel.supervision.PartFailedException;

final class DiskFailureTest {
  private static final String SEGMENT = "log-000000000001";
  private static final int TORN_BYTES = 30;

  @TempDir Path unused;

  private final Map<ProcessId, FakeFolder> folders = new HashMap<>();

  @Test
  void stopsWithoutAcknowledgingWhenTheDiskIsFullAndRecoversOnceSpaceIsFree() throws Exception {
    try (TestCluster cluster = cluster()) {
      cluster.add("before");
      ProcessId leader = cluster.awaitLeader();
      folder(leader).limitFreeBytes(10);
      cluster.add("through another leader");
      await().until(() -> !cluster.failures().isEmpty());
      assertThat(cluster.failures().get(0)).hasMessageThat().contains("no space left");
      folder(leader).limitFreeBytes(Long.MAX_VALUE);
      cluster.stop(leader);
      cluster.start(leader, () -> folder(leader));
      cluster.awaitValuesAt(leader, ImmutableList.of("before", "through another leader"));
    }
  }

  @Test
  void refusesToStartOnADamagedRecordAndRejoinsWithAnEmptyFolder() throws Exception {
    try (TestCluster cluster = cluster()) {
      cluster.add("kept");
      ProcessId process = cluster.voters().get(0);
      cluster.stop(process);
      folder(process).flipBit(SEGMENT, 40);
      PartFailedException refused =
          assertThrows(
              PartFailedException.class, () -> cluster.start(process, () -> folder(process)));
      assertThat(refused).hasMessageThat().contains(SEGMENT + " is damaged at offset");
      folders.put(process, new FakeFolder());
      cluster.start(process, () -> folder(process));
      cluster.awaitValuesAt(process, ImmutableList.of("kept"));
    }
  }

  @Test
  void startsAfterATornWriteAndFetchesMissedEntries() throws Exception {
    try (TestCluster cluster = cluster()) {
      cluster.add("first");
      cluster.add("second");
      ProcessId process = cluster.voters().get(0);
      cluster.stop(process);
      byte[] tornRecord = Arrays.copyOf(folder(process).read(SEGMENT), TORN_BYTES);
      folder(process).addGarbage(SEGMENT, tornRecord);
      cluster.add("third");
      cluster.start(process, () -> folder(process));
      cluster.awaitValuesAt(process, ImmutableList.of("first", "second", "third"));
    }
  }

  private TestCluster cluster() throws PartFailedException {
    TestCluster cluster = new TestCluster(unused, 3, 1_000_000);
    for (ProcessId voter : cluster.voters()) {
      folders.put(voter, new FakeFolder());
      cluster.start(voter, () -> folder(voter));
    }
    return cluster;
  }

  private FakeFolder folder(ProcessId process) {
    return Objects.requireNonNull(folders.get(process));
  }
}
