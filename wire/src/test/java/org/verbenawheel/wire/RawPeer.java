package org.verbenawheel.wire;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.util.Optional;
import org.verbenawheel.codec.MalformedMessageException;
import org.verbenawheel.codec.MessageCodec;
import org.verbenawheel.peer.PeerMessage;

/** A plain socket to a node, which can do the handshake and then send any bytes. */
final class RawPeer implements AutoCloseable {
  private static final MessageCodec HANDSHAKES = new MessageCodec(HandshakeMessages.KINDS);
  private static final int GENEROUS_MILLISECONDS = 30_000;

  private final Socket socket;
  private final DataInputStream input;
  private final OutputStream output;

  RawPeer(int port) throws IOException {
    this.socket = new Socket(InetAddress.getLoopbackAddress(), port);
    socket.setSoTimeout(GENEROUS_MILLISECONDS);
    this.input = new DataInputStream(socket.getInputStream());
    this.output = socket.getOutputStream();
  }

  /** Does the handshake as the first entry towards the second. */
  void shakeHands() throws IOException, MalformedMessageException, HandshakeRefusedException {
    Handshake handshake =
        Handshake.dialing(TestNodes.SECRET, "nonce", TestNodes.ENTRY_1, TestNodes.ENTRY_2);
    sendHandshake(handshake.opening().orElseThrow());
    Handshake.Step step = handshake.receive(readHandshake());
    sendHandshake(step.reply().orElseThrow());
    step = handshake.receive(readHandshake());
    if (step.peer().isEmpty()) {
      throw new HandshakeRefusedException("not welcomed");
    }
  }

  void sendHandshake(PeerMessage message) throws IOException {
    sendFrame(FrameType.HANDSHAKE, HANDSHAKES.encode(message));
  }

  PeerMessage readHandshake() throws IOException, MalformedMessageException {
    byte[] frame = new byte[input.readInt()];
    input.readFully(frame);
    byte[] payload = new byte[frame.length - Frame.HEADER_BYTES];
    System.arraycopy(frame, Frame.HEADER_BYTES, payload, 0, payload.length);
    return HANDSHAKES.decode(payload);
  }

  void sendFrame(FrameType type, byte[] payload) throws IOException {
    send(frame(type, payload));
  }

  static byte[] frame(FrameType type, byte[] payload) {
    byte[] bytes = new byte[Frame.LENGTH_BYTES + Frame.HEADER_BYTES + payload.length];
    Frame.encode(type, 1, payload).get(bytes);
    return bytes;
  }

  void send(byte[] bytes) throws IOException {
    output.write(bytes);
    output.flush();
  }

  /** Waits until the node closes the connection; empty if it did, else the bytes it still sent. */
  Optional<Integer> readToEnd() {
    int count = 0;
    try {
      while (input.read() >= 0) {
        count++;
      }
    } catch (IOException reset) {
      return Optional.empty();
    }
    return count == 0 ? Optional.empty() : Optional.of(count);
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
