package org.verbenawheel.replication;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableList;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.verbenawheel.identity.CommandId;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.supervision.PartFailedException;

final class ReplicaProcessTest {
  private static final int NO_SNAPSHOT = 1_000_000;

  @TempDir Path folder;

  @Test
  void commitsOnAllReplicasInOneOrder() throws Exception {
    try (TestCluster cluster = new TestCluster(folder, 3, NO_SNAPSHOT)) {
      cluster.startAll();
      ImmutableList<String> values = ImmutableList.of("a", "b", "c");
      for (String value : values) {
        cluster.add(value);
      }
      assertThat(cluster.read()).isEqualTo(values);
      for (ProcessId voter : cluster.voters()) {
        cluster.awaitValuesAt(voter, values);
      }
    }
  }

  @Test
  void commitsManyCommandsInFlight() throws Exception {
    try (TestCluster cluster = new TestCluster(folder, 3, NO_SNAPSHOT)) {
      cluster.startAll();
      List<CompletableFuture<CommandReply>> replies = new ArrayList<>();
      for (int number = 0; number < 500; number++) {
        replies.add(cluster.remote().submit(TestCluster.envelope(Optional.empty(), "v" + number)));
      }
      for (CompletableFuture<CommandReply> reply : replies) {
        TestCluster.reply(reply);
      }
      assertThat(cluster.read()).hasSize(500);
    }
  }

  @Test
  void keepsAcknowledgedCommandsWhenAllReplicasRestart() throws Exception {
    try (TestCluster cluster = new TestCluster(folder, 3, NO_SNAPSHOT)) {
      cluster.startAll();
      cluster.add("before");
      cluster.voters().forEach(cluster::stop);
      cluster.startAll();
      cluster.add("after");
      assertThat(cluster.read()).containsExactly("before", "after").inOrder();
    }
  }

  @Test
  void electsAnotherLeaderWhenTheFirstIsPartitioned() throws Exception {
    try (TestCluster cluster = new TestCluster(folder, 3, NO_SNAPSHOT)) {
      cluster.startAll();
      cluster.add("first");
      ProcessId leader = cluster.awaitLeader();
      cluster.links().cutOff(leader);
      cluster.add("second");
      cluster.links().reconnect(leader);
      cluster.awaitValuesAt(leader, ImmutableList.of("first", "second"));
    }
  }

  @Test
  void answersAResendWithTheFirstReplyAfterALeaderChange() throws Exception {
    try (TestCluster cluster = new TestCluster(folder, 3, NO_SNAPSHOT)) {
      cluster.startAll();
      CommandEnvelope command =
          TestCluster.envelope(Optional.of(new CommandId("operator-1")), "once");
      int first = TestCluster.reply(cluster.remote().submit(command));
      cluster.add("other");
      ProcessId leader = cluster.awaitLeader();
      cluster.stop(leader);
      int resent = TestCluster.reply(cluster.remote().submit(command));
      assertThat(resent).isEqualTo(first);
      assertThat(cluster.read()).containsExactly("once", "other").inOrder();
    }
  }

  @Test
  void keepsRunningAfterACommandThatMakesAPartThrow() throws Exception {
    try (TestCluster cluster = new TestCluster(folder, 3, NO_SNAPSHOT)) {
      cluster.startAll();
      CommandReply reply =
          cluster.remote().submit(TestCluster.envelope(Optional.empty(), "fault")).get();
      assertThat(reply).isInstanceOf(CommandFaulted.class);
      assertThat(cluster.add("good")).isEqualTo(1);
    }
  }

  @Test
  void refusesAFolderThatAnotherReplicaHasOpen() throws Exception {
    try (TestCluster cluster = new TestCluster(folder, 3, NO_SNAPSHOT)) {
      ProcessId first = cluster.voters().get(0);
      ReplicaProcess running = cluster.start(first);
      PartFailedException refused =
          assertThrows(PartFailedException.class, () -> cluster.start(first));
      assertThat(refused).hasMessageThat().contains("in use by another process");
      running.stop(Duration.ZERO);
    }
  }
}
