package org.verbenawheel.replication;

import static com.google.common.truth.Truth.assertThat;
import static org.awaitility.Awaitility.await;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.verbenawheel.identity.CommandId;
import org.verbenawheel.identity.ProcessId;

final class SnapshotTest {
  private static final int SNAPSHOT_INTERVAL = 200;

  @TempDir Path folder;

  @Test
  void restoresStateAndRepliesFromSnapshotsAfterFiveHundredChanges() throws Exception {
    try (TestCluster cluster = new TestCluster(folder, 3, SNAPSHOT_INTERVAL)) {
      cluster.startAll();
      CommandEnvelope first = TestCluster.envelope(Optional.of(new CommandId("operator-1")), "v0");
      int firstReply = TestCluster.reply(cluster.remote().submit(first));
      List<String> values = new ArrayList<>(List.of("v0"));
      for (int number = 1; number < 500; number++) {
        values.add("v" + number);
        cluster.add("v" + number);
      }
      awaitSnapshotFiles(cluster);
      cluster.voters().forEach(cluster::stop);
      cluster.startAll();
      assertThat(TestCluster.reply(cluster.remote().submit(first))).isEqualTo(firstReply);
      assertThat(cluster.read()).isEqualTo(values);
      for (ProcessId voter : cluster.voters()) {
        cluster.awaitValuesAt(voter, ImmutableList.copyOf(values));
      }
    }
  }

  @Test
  void sendsASnapshotToAReplicaThatLacksCompactedEntries() throws Exception {
    try (TestCluster cluster = new TestCluster(folder, 3, SNAPSHOT_INTERVAL)) {
      cluster.startAll();
      cluster.add("v0");
      ProcessId leader = cluster.awaitLeader();
      ProcessId missing =
          cluster.voters().stream().filter(voter -> !voter.equals(leader)).findFirst().get();
      cluster.stop(missing);
      List<String> values = new ArrayList<>(List.of("v0"));
      for (int number = 1; number < 2 * SNAPSHOT_INTERVAL + 50; number++) {
        values.add("v" + number);
        cluster.add("v" + number);
      }
      cluster.start(missing);
      cluster.awaitValuesAt(missing, ImmutableList.copyOf(values));
      assertThat(cluster.replica(missing).status().orElseThrow().snapshotIndex())
          .isAtLeast((long) SNAPSHOT_INTERVAL);
    }
  }

  private void awaitSnapshotFiles(TestCluster cluster) {
    for (ProcessId voter : cluster.voters()) {
      await().until(() -> hasSnapshot(folder.resolve(voter.value())));
    }
  }

  private static boolean hasSnapshot(Path data) throws IOException {
    try (Stream<Path> files = Files.list(data)) {
      return files.anyMatch(
          file ->
              file.getFileName().toString().startsWith("snapshot-")
                  && !file.toString().endsWith(".tmp"));
    }
  }
}
