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

/** A plain socket connected to a node. Can perform the handshake and send arbitrary bytes. */
final class RawPeer implements AutoCloseable {
  private static final MessageCodec HANDSHAKE_CODEC = new MessageCodec(HandshakeMessages.KINDS);
  private static final int READ_TIMEOUT_MILLISECONDS = 30_000;

  private final Socket socket;
  private final DataInputStream input;
  private final OutputStream output;

  RawPeer(int port) throws IOException {
    this.socket = new Socket(InetAddress.getLoopbackAddress(), port);
    socket.setSoTimeout(READ_TIMEOUT_MILLISECONDS);
    this.input = new DataInputStream(socket.getInputStream());
    this.output = socket.getOutputStream();
  }

  /** Performs the handshake as entry 1, the dialing end, with entry 2. */
  void performHandshake() throws IOException, MalformedMessageException, HandshakeRefusedException {
    Handshake handshake =
        Handshake.dialing(TestNodes.SECRET, "nonce", TestNodes.ENTRY_1, TestNodes.ENTRY_2);
    sendHandshake(handshake.firstMessage().orElseThrow());
    Handshake.Step step = handshake.receive(readHandshake());
    sendHandshake(step.reply().orElseThrow());
    step = handshake.receive(readHandshake());
    if (step.peer().isEmpty()) {
      throw new HandshakeRefusedException("not welcomed");
    }
  }

  void sendHandshake(PeerMessage message) throws IOException {
    sendFrame(FrameType.HANDSHAKE, HANDSHAKE_CODEC.encode(message));
  }

  PeerMessage readHandshake() throws IOException, MalformedMessageException {
    byte[] frame = new byte[input.readInt()];
    input.readFully(frame);
    byte[] payload = new byte[frame.length - Frame.HEADER_BYTES];
    System.arraycopy(frame, Frame.HEADER_BYTES, payload, 0, payload.length);
    return HANDSHAKE_CODEC.decode(payload);
  }

  void sendFrame(FrameType type, byte[] payload) throws IOException {
    send(encodeFrame(type, payload));
  }

  static byte[] encodeFrame(FrameType type, byte[] payload) {
    byte[] bytes = new byte[Frame.LENGTH_BYTES + Frame.HEADER_BYTES + payload.length];
    Frame.encode(type, 1, payload).get(bytes);
    return bytes;
  }

  void send(byte[] bytes) throws IOException {
    output.write(bytes);
    output.flush();
  }

  /**
   * Waits until the node closes the connection. Returns empty if it sent nothing more or reset the
   * connection, otherwise the number of bytes that it sent.
   */
  Optional<Integer> readUntilClosed() {
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
