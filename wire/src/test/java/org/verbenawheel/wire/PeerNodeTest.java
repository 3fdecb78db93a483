package org.verbenawheel.wire;

import static com.google.common.truth.Truth.assertThat;
import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.verbenawheel.wire.TestNodes.ENTRY_1;
import static org.verbenawheel.wire.TestNodes.ENTRY_2;
import static org.verbenawheel.wire.TestNodes.GENEROUS_TIMEOUT;

import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.peer.PeerMessage;
import org.verbenawheel.peer.PeerUnreachableException;
import org.verbenawheel.request.RunVerdict;
import org.verbenawheel.supervision.PartFailedException;
import org.verbenawheel.wire.TestMessages.Answer;
import org.verbenawheel.wire.TestMessages.Note;
import org.verbenawheel.wire.TestMessages.Question;
import org.verbenawheel.wire.TestMessages.Unhandled;

final class PeerNodeTest {
  private final TestNodes nodes = new TestNodes();
  private final RecordingHandler handler = new RecordingHandler();

  @AfterEach
  void stopNodes() {
    nodes.close();
  }

  @Test
  void answersManyRequestsAtOnce() throws Exception {
    PeerNode client = connectedClient();
    List<CompletableFuture<PeerMessage>> replies = new ArrayList<>();
    for (int number = 0; number < 1000; number++) {
      replies.add(client.request(ENTRY_2, new Question(number), GENEROUS_TIMEOUT));
    }
    for (int number = 0; number < 1000; number++) {
      assertThat(replies.get(number).get()).isEqualTo(new Answer(number));
    }
    assertThat(client.counters().snapshot().connectionsOpened()).isEqualTo(1);
  }

  @Test
  void deliversMessagesOfManyKilobytes() throws Exception {
    PeerNode client = connectedClient();
    for (int count = 0; count < 20; count++) {
      client.send(ENTRY_2, Note.ofLength(300_000));
    }
    await().until(() -> handler.messages.size() == 20);
    assertThat(client.dump().links().get(0).queuedBytes()).isEqualTo(0);
  }

  @Test
  void reportsNotRunWhenNothingListens() throws Exception {
    PeerNode client = nodes.startClient(1);
    assertVerdict(client.request(ENTRY_2, new Question(1), GENEROUS_TIMEOUT), RunVerdict.NOT_RUN);
  }

  @Test
  void reportsNotRunWhenNoHandlerHandlesTheKind() throws Exception {
    PeerNode client = connectedClient();
    assertVerdict(client.request(ENTRY_2, new Unhandled(), GENEROUS_TIMEOUT), RunVerdict.NOT_RUN);
  }

  @Test
  void reportsMayHaveRunWhenTheHandlerFails() throws Exception {
    PeerNode client = connectedClient();
    assertVerdict(
        client.request(ENTRY_2, new Question(-1), GENEROUS_TIMEOUT), RunVerdict.MAY_HAVE_RUN);
  }

  @Test
  void reportsMayHaveRunWhenTheReplyIsLate() throws Exception {
    PeerNode client = connectedClient();
    handler.repliesToQuestions = false;
    assertVerdict(
        client.request(ENTRY_2, new Question(1), Duration.ofMillis(200)), RunVerdict.MAY_HAVE_RUN);
  }

  @Test
  void reportsMayHaveRunWhenThePeerStopsBeforeItsReply() throws Exception {
    handler.repliesToQuestions = false;
    PeerNode server = nodes.startServer(handler);
    PeerNode client = nodes.startClient(server.listenAddress().getPort());
    CompletableFuture<PeerMessage> reply =
        client.request(ENTRY_2, new Question(1), GENEROUS_TIMEOUT);
    await().until(() -> !handler.requests.isEmpty());
    server.stop(Duration.ZERO);
    assertVerdict(reply, RunVerdict.MAY_HAVE_RUN);
  }

  @Test
  void reconnectsToARestartedPeer() throws Exception {
    PeerNode server = nodes.startServer(handler);
    int port = server.listenAddress().getPort();
    PeerNode client = nodes.startClient(port);
    assertThat(client.request(ENTRY_2, new Question(1), GENEROUS_TIMEOUT).get())
        .isEqualTo(new Answer(1));
    server.stop(Duration.ZERO);
    nodes.start(
        TestNodes.builder(ENTRY_2)
            .listenAddress("127.0.0.1:" + port)
            .peers(ImmutableMap.of(ENTRY_1, "127.0.0.1:1")),
        handler);
    await()
        .ignoreExceptions()
        .until(() -> client.request(ENTRY_2, new Question(2), GENEROUS_TIMEOUT).get() != null);
  }

  /** With retry waits of a day, only the peer's own connection can trigger the second attempt. */
  @Test
  void reconnectsWithoutBackoffToAPeerThatConnected() throws Exception {
    PeerTimings dayLongRetryWaits =
        new PeerTimings(
            Duration.ofMillis(100),
            Duration.ofSeconds(1),
            Duration.ofSeconds(1),
            Duration.ofDays(1),
            Duration.ofDays(1));
    int freePort = freePort();
    PeerNode waiting =
        nodes.start(
            TestNodes.builder(ENTRY_1)
                .timings(dayLongRetryWaits)
                .peers(ImmutableMap.of(ENTRY_2, "127.0.0.1:" + freePort)),
            new RecordingHandler());
    assertVerdict(waiting.request(ENTRY_2, new Question(1), GENEROUS_TIMEOUT), RunVerdict.NOT_RUN);
    PeerNode started =
        nodes.start(
            TestNodes.builder(ENTRY_2)
                .listenAddress("127.0.0.1:" + freePort)
                .peers(ImmutableMap.of(ENTRY_1, addressOf(waiting))),
            handler);
    started.send(ENTRY_1, Note.ofText("restarted"));
    await()
        .ignoreExceptions()
        .until(() -> waiting.request(ENTRY_2, new Question(2), GENEROUS_TIMEOUT).get() != null);
  }

  /** Guards against a stop or start that breaks the node while another thread keeps sending. */
  @Test
  void restartsWhileAnotherThreadSends() throws Exception {
    PeerNode server = nodes.startServer(handler);
    PeerNode client =
        nodes.start(
            TestNodes.builder(ENTRY_1)
                .listenAddress("127.0.0.1:" + freePort())
                .peers(ImmutableMap.of(ENTRY_2, addressOf(server))),
            new RecordingHandler());
    AtomicBoolean sending = new AtomicBoolean(true);
    Thread sender =
        new Thread(
            () -> {
              while (sending.get()) {
                client.send(ENTRY_2, Note.ofText("continuous"));
              }
            });
    sender.start();
    for (int round = 0; round < 100; round++) {
      client.stop(Duration.ZERO);
      client.start(failure -> {});
    }
    sending.set(false);
    sender.join();
    await()
        .ignoreExceptions()
        .until(() -> client.request(ENTRY_2, new Question(2), GENEROUS_TIMEOUT).get() != null);
  }

  @Test
  void refusesAWrongSecret() throws Exception {
    PeerNode server = nodes.startServer(handler);
    PeerNode client =
        nodes.start(
            TestNodes.builder(ENTRY_1)
                .secret(SharedSecret.of("another secret of bytes"))
                .peers(ImmutableMap.of(ENTRY_2, addressOf(server))),
            new RecordingHandler());
    assertVerdict(client.request(ENTRY_2, new Question(1), GENEROUS_TIMEOUT), RunVerdict.NOT_RUN);
    assertThat(client.counters().snapshot().refusedHandshakes()).isAtLeast(1);
    assertThat(handler.requests).isEmpty();
  }

  @Test
  void refusesAnUnknownProcess() throws Exception {
    PeerNode server = nodes.startServer(handler);
    PeerNode client =
        nodes.start(
            TestNodes.builder(new ProcessId("entry-9"))
                .peers(ImmutableMap.of(ENTRY_2, addressOf(server))),
            new RecordingHandler());
    assertVerdict(client.request(ENTRY_2, new Question(1), GENEROUS_TIMEOUT), RunVerdict.NOT_RUN);
    assertThat(server.counters().snapshot().refusedHandshakes()).isAtLeast(1);
  }

  @Test
  void deliversMessagesAndRequestsToItself() throws Exception {
    PeerNode server = nodes.startServer(handler);
    server.send(ENTRY_2, Note.ofText("to itself"));
    assertThat(server.request(ENTRY_2, new Question(5), GENEROUS_TIMEOUT).get())
        .isEqualTo(new Answer(5));
    assertVerdict(server.request(ENTRY_2, new Unhandled(), GENEROUS_TIMEOUT), RunVerdict.NOT_RUN);
    assertThat(handler.messages).hasSize(1);
  }

  @Test
  void refusesMessagesBeyondTheMaximumLength() throws Exception {
    PeerNode client = connectedClient();
    assertVerdict(
        client.request(
            ENTRY_2, Note.ofLength(PeerNode.DEFAULT_MAXIMUM_FRAME_BYTES), GENEROUS_TIMEOUT),
        RunVerdict.NOT_RUN);
    assertThat(client.request(ENTRY_2, new Question(1), GENEROUS_TIMEOUT).get())
        .isEqualTo(new Answer(1));
  }

  @Test
  void reportsTheRemedyWhenThePortIsTaken() throws Exception {
    PeerNode server = nodes.startServer(handler);
    PeerNode second = TestNodes.builder(ENTRY_1).listenAddress(addressOf(server)).build();
    PartFailedException failure =
        assertThrows(PartFailedException.class, () -> second.start(laterFailure -> {}));
    assertThat(failure).hasMessageThat().contains("no other process has the port");
  }

  private PeerNode connectedClient() throws Exception {
    PeerNode client = nodes.startClient(nodes.startServer(handler).listenAddress().getPort());
    client.request(ENTRY_2, new Question(0), GENEROUS_TIMEOUT).get();
    return client;
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  private static String addressOf(PeerNode node) {
    return "127.0.0.1:" + node.listenAddress().getPort();
  }

  private static void assertVerdict(CompletableFuture<PeerMessage> reply, RunVerdict expected) {
    ExecutionException failure = assertThrows(ExecutionException.class, reply::get);
    assertThat(failure).hasCauseThat().isInstanceOf(PeerUnreachableException.class);
    if (failure.getCause() instanceof PeerUnreachableException unreachable) {
      assertThat(unreachable.verdict()).isEqualTo(expected);
    }
  }
}
