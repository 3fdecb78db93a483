package org.verbenawheel.replication;

import static com.google.common.truth.Truth.assertThat;
import static org.awaitility.Awaitility.await;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.verbenawheel.identity.ProcessId;

/**
 * Tests the loss of replicas' folders, with real files: a second one right after the first was
 * repaired, and most of them at once.
 */
final class LostHostTest {
  private static final Duration REPAIR_TIMEOUT = Duration.ofSeconds(30);

  @TempDir Path folder;

  @ParameterizedTest
  @ValueSource(ints = {3, 5})
  void losesNothingAcknowledgedWhenASecondHostIsLostRightAfterARepair(int replicaCount)
      throws Exception {
    try (TestCluster cluster = new TestCluster(folder, replicaCount, 50)) {
      cluster.startAll();
      List<String> acknowledged = new ArrayList<>();
      addValues(cluster, acknowledged, 120);
      ProcessId first = cluster.awaitLeader();
      loseAndReplace(cluster, first);
      addValues(cluster, acknowledged, 10);
      awaitRepair(cluster, first);
      ProcessId second = cluster.awaitLeader();
      loseAndReplace(cluster, second);
      addValues(cluster, acknowledged, 10);
      assertThat(cluster.read()).isEqualTo(acknowledged);
      awaitRepair(cluster, second);
    }
  }

  @Test
  void doesNotFoundASecondClusterWhileMostReplicasAreDown() throws Exception {
    try (TestCluster cluster = new TestCluster(folder, 3, 1_000)) {
      cluster.startAll();
      cluster.add("kept");
      ProcessId leader = cluster.awaitLeader();
      cluster.voters().forEach(cluster::stop);
      for (ProcessId voter : cluster.voters()) {
        if (!voter.equals(leader)) {
          cluster.loseFolder(voter);
          cluster.start(voter);
        }
      }
      await().during(Duration.ofSeconds(2)).until(() -> cluster.leader().isEmpty());
      cluster.start(leader);
      await().during(Duration.ofSeconds(2)).until(() -> cluster.leader().isEmpty());
    }
  }

  private static void addValues(TestCluster cluster, List<String> acknowledged, int count)
      throws Exception {
    for (int number = 0; number < count; number++) {
      String value = "v" + acknowledged.size();
      cluster.add(value);
      acknowledged.add(value);
    }
  }

  private static void loseAndReplace(TestCluster cluster, ProcessId process) throws Exception {
    cluster.stop(process);
    cluster.loseFolder(process);
    cluster.start(process);
  }

  /** Waits until the process's new identity is a voter and the old one is removed. */
  private static void awaitRepair(TestCluster cluster, ProcessId process) {
    ReplicaId identity = cluster.replica(process).status().orElseThrow().replica();
    await()
        .atMost(REPAIR_TIMEOUT)
        .until(
            () ->
                cluster.leader().stream()
                    .flatMap(leader -> cluster.replica(leader).status().stream())
                    .filter(status -> status.membersIndex() <= status.commitIndex())
                    .flatMap(status -> status.members().stream())
                    .anyMatch(
                        members ->
                            members.isVoter(identity)
                                && members.voters().size() == cluster.voters().size()));
  }
}
