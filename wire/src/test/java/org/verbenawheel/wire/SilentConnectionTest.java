package org.verbenawheel.wire;

import static com.google.common.truth.Truth.assertThat;
import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.verbenawheel.wire.TestNodes.ENTRY_1;
import static org.verbenawheel.wire.TestNodes.ENTRY_2;
import static org.verbenawheel.wire.TestNodes.GENEROUS_TIMEOUT;

import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.peer.PeerMessage;
import org.verbenawheel.peer.PeerUnreachableException;
import org.verbenawheel.supervision.PartFailedException;
import org.verbenawheel.wire.TestMessages.Answer;
import org.verbenawheel.wire.TestMessages.Note;
import org.verbenawheel.wire.TestMessages.Question;

final class SilentConnectionTest {
  private static final ProcessId ENTRY_3 = new ProcessId("entry-3");

  private final TestNodes nodes = new TestNodes();
  private final RecordingHandler handler = new RecordingHandler();
  private final SilentRelay relay;
  private final PeerNode server;

  SilentConnectionTest() throws PartFailedException, IOException {
    this.server = nodes.startServer(handler);
    this.relay = new SilentRelay(server.listenAddress().getPort());
  }

  @AfterEach
  void stop() throws IOException {
    nodes.close();
    relay.close();
  }

  @Test
  void replacesASilentConnection() throws Exception {
    PeerNode client = nodes.startClient(relay.port());
    assertThat(sendQuestion(client, 1).get()).isEqualTo(new Answer(1));
    relay.silenceOpenConnections();
    CompletableFuture<PeerMessage> lost = sendQuestion(client, 2);
    ExecutionException failure = assertThrows(ExecutionException.class, lost::get);
    assertThat(failure).hasCauseThat().isInstanceOf(PeerUnreachableException.class);
    assertThat(failure).hasCauseThat().hasMessageThat().contains("MAY_HAVE_RUN");
    assertThat(sendQuestion(client, 3).get()).isEqualTo(new Answer(3));
    assertThat(client.counters().snapshot().connectionsSilent()).isEqualTo(1);
    await().until(() -> server.counters().snapshot().connectionsSilent() == 1);
  }

  /**
   * Counter-check: with heartbeats and timeouts of a day the silent connection is never replaced,
   * so the heartbeats are what makes the other tests pass.
   */
  @Test
  void connectionWithoutHeartbeatsStaysSilent() throws Exception {
    Duration oneDay = Duration.ofDays(1);
    PeerNode withoutHeartbeats =
        nodes.start(
            TestNodes.builder(ENTRY_1)
                .timings(
                    new PeerTimings(
                        oneDay.dividedBy(2), oneDay, oneDay, Duration.ofMillis(1), oneDay))
                .peers(ImmutableMap.of(ENTRY_2, "127.0.0.1:" + relay.port())),
            new RecordingHandler());
    assertThat(sendQuestion(withoutHeartbeats, 1).get()).isEqualTo(new Answer(1));
    relay.silenceOpenConnections();
    Duration requestTimeout = Duration.ofSeconds(2);
    for (int number = 2; number < 4; number++) {
      CompletableFuture<PeerMessage> lost =
          withoutHeartbeats.request(ENTRY_2, new Question(number), requestTimeout);
      ExecutionException failure = assertThrows(ExecutionException.class, lost::get);
      assertThat(failure).hasCauseThat().hasMessageThat().contains("no reply in time");
    }
    assertThat(withoutHeartbeats.counters().snapshot().connectionsOpened()).isEqualTo(1);
  }

  @Test
  void silentPeerNeitherBlocksOthersNorGrowsTheQueue() throws Exception {
    long maximumQueueBytes = 1_000_000;
    RecordingHandler otherHandler = new RecordingHandler();
    PeerNode other =
        nodes.start(
            TestNodes.builder(ENTRY_3).peers(ImmutableMap.of(ENTRY_1, "127.0.0.1:1")),
            otherHandler);
    PeerNode client =
        nodes.start(
            TestNodes.builder(ENTRY_1)
                .maximumQueueBytes(maximumQueueBytes)
                .peers(
                    ImmutableMap.of(
                        ENTRY_2,
                        "127.0.0.1:" + relay.port(),
                        ENTRY_3,
                        "127.0.0.1:" + other.listenAddress().getPort())),
            new RecordingHandler());
    assertThat(sendQuestion(client, 1).get()).isEqualTo(new Answer(1));
    relay.silenceOpenConnections();
    for (int count = 0; count < 200; count++) {
      client.send(ENTRY_2, Note.ofLength(100_000));
      assertThat(client.dump().links().get(0).queuedBytes()).isAtMost(maximumQueueBytes);
    }
    assertThat(client.request(ENTRY_3, new Question(2), GENEROUS_TIMEOUT).get())
        .isEqualTo(new Answer(2));
    assertThat(client.counters().snapshot().messagesDropped()).isGreaterThan(0);
  }

  private static CompletableFuture<PeerMessage> sendQuestion(PeerNode client, int number) {
    return client.request(ENTRY_2, new Question(number), GENEROUS_TIMEOUT);
  }
}
