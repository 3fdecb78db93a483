package org.verbenawheel.wire;

import static com.google.common.truth.Truth.assertThat;
import static org.awaitility.Awaitility.await;
import static org.verbenawheel.wire.TestNodes.ENTRY_2;
import static org.verbenawheel.wire.TestNodes.GENEROUS_TIMEOUT;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Random;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.verbenawheel.codec.MessageCodec;
import org.verbenawheel.supervision.PartFailedException;
import org.verbenawheel.wire.TestMessages.Answer;
import org.verbenawheel.wire.TestMessages.Note;
import org.verbenawheel.wire.TestMessages.Question;

final class MalformedFramesTest {
  private static final MessageCodec CODEC = new MessageCodec(TestMessages.KINDS);
  private static final byte[] NOTE_KIND = {92};

  private final TestNodes nodes = new TestNodes();
  private final RecordingHandler handler = new RecordingHandler();
  private final PeerNode server;

  MalformedFramesTest() throws PartFailedException {
    this.server = nodes.startServer(handler);
  }

  @AfterEach
  void stop() {
    nodes.close();
  }

  @Test
  void closesOnALengthBeyondTheMaximum() throws Exception {
    assertClosedAfter(ByteBuffer.allocate(4).putInt(Integer.MAX_VALUE).array());
  }

  @Test
  void closesOnANegativeLength() throws Exception {
    assertClosedAfter(ByteBuffer.allocate(4).putInt(-5).array());
  }

  @Test
  void closesOnAnUnknownFrameType() throws Exception {
    byte[] frame = RawPeer.encodeFrame(FrameType.PING, new byte[0]);
    frame[Frame.LENGTH_BYTES] = 99;
    assertClosedAfter(frame);
  }

  @Test
  void closesOnAnUnknownMessageKind() throws Exception {
    assertClosedAfter(RawPeer.encodeFrame(FrameType.MESSAGE, new byte[] {17, (byte) 0x80}));
  }

  @Test
  void closesOnAFieldOfTheWrongType() throws Exception {
    byte[] question = {
      90, (byte) 0x81, (byte) 0xa6, 'n', 'u', 'm', 'b', 'e', 'r', (byte) 0xa3, 'o', 'n', 'e'
    };
    assertClosedAfter(RawPeer.encodeFrame(FrameType.MESSAGE, question));
  }

  @Test
  void closesOnDeepNesting() throws Exception {
    byte[] nested = new byte[100_000];
    Arrays.fill(nested, (byte) 0x91);
    assertClosedAfter(RawPeer.encodeFrame(FrameType.MESSAGE, concatenate(NOTE_KIND, nested)));
  }

  @Test
  void closesOnDeepNestingInAnUnknownField() throws Exception {
    byte[] nested = new byte[100_000];
    Arrays.fill(nested, (byte) 0x91);
    byte[] start = {92, (byte) 0x81, (byte) 0xa1, 'x'};
    assertClosedAfter(RawPeer.encodeFrame(FrameType.MESSAGE, concatenate(start, nested)));
  }

  @Test
  void closesOnAFalseLengthInsideAMessage() throws Exception {
    byte[] falseLength = {
      92,
      (byte) 0x81,
      (byte) 0xa5,
      'p',
      'a',
      'r',
      't',
      's',
      (byte) 0x91,
      (byte) 0xc6,
      0x7f,
      (byte) 0xff,
      (byte) 0xff,
      (byte) 0xf0
    };
    assertClosedAfter(RawPeer.encodeFrame(FrameType.MESSAGE, falseLength));
  }

  @Test
  void closesOnAMessageBeforeTheHandshake() throws Exception {
    try (RawPeer peer = new RawPeer(server.listenAddress().getPort())) {
      peer.sendFrame(FrameType.MESSAGE, CODEC.encode(Note.ofText("too early")));
      assertThat(peer.readUntilClosed()).isEmpty();
    }
    assertThat(handler.messages).isEmpty();
    assertServerAnswers();
  }

  @Test
  void closesOnALongFrameBeforeTheHandshake() throws Exception {
    try (RawPeer peer = new RawPeer(server.listenAddress().getPort())) {
      peer.sendFrame(FrameType.HANDSHAKE, new byte[5000]);
      assertThat(peer.readUntilClosed()).isEmpty();
    }
    assertServerAnswers();
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void survivesRandomlyDamagedFrames(long seed) throws Exception {
    Random random = new Random(seed);
    for (int round = 0; round < 40; round++) {
      try (RawPeer peer = new RawPeer(server.listenAddress().getPort())) {
        if (random.nextBoolean()) {
          peer.performHandshake();
        }
        sendIgnoringReset(peer, damagedFrames(random));
      }
    }
    assertServerAnswers();
  }

  private static byte[] damagedFrames(Random random) {
    byte[] bytes =
        concatenate(
            RawPeer.encodeFrame(
                FrameType.MESSAGE, CODEC.encode(Note.ofLength(random.nextInt(300)))),
            RawPeer.encodeFrame(FrameType.REQUEST, CODEC.encode(new Question(random.nextInt(9)))));
    int damageCount = 1 + random.nextInt(8);
    for (int count = 0; count < damageCount; count++) {
      bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
    }
    return Arrays.copyOf(bytes, 1 + random.nextInt(bytes.length));
  }

  private static void sendIgnoringReset(RawPeer peer, byte[] bytes) {
    try {
      peer.send(bytes);
    } catch (IOException reset) {
      // The node has closed the connection already.
    }
  }

  private void assertClosedAfter(byte[] bytes) throws Exception {
    try (RawPeer peer = new RawPeer(server.listenAddress().getPort())) {
      peer.performHandshake();
      peer.send(bytes);
      assertThat(peer.readUntilClosed()).isEmpty();
    }
    await().until(() -> server.counters().snapshot().malformedFrames() == 1);
    assertThat(handler.messages).isEmpty();
    assertServerAnswers();
  }

  private void assertServerAnswers() throws Exception {
    PeerNode client = nodes.startClient(server.listenAddress().getPort());
    assertThat(client.request(ENTRY_2, new Question(4), GENEROUS_TIMEOUT).get())
        .isEqualTo(new Answer(4));
  }

  private static byte[] concatenate(byte[] first, byte[] second) {
    byte[] all = Arrays.copyOf(first, first.length + second.length);
    System.arraycopy(second, 0, all, first.length, second.length);
    return all;
  }
}
