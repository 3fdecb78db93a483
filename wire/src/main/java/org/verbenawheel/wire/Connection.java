package org.verbenawheel.wire;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.time.Instant;
import java.util.Optional;
import org.verbenawheel.codec.MalformedMessageException;
import org.verbenawheel.codec.MessageCodec;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.peer.PeerMessage;

/**
 * One open connection: reads and writes frames, runs the handshake and watches for silence. Belongs
 * to the event loop's thread.
 */
final class Connection implements EventLoop.ChannelListener {
  private static final int STAGING_BYTES = 16 * 1024;
  private static final int MAXIMUM_HANDSHAKE_FRAME_BYTES = 1024;
  private static final MessageCodec HANDSHAKE_CODEC = new MessageCodec(HandshakeMessages.KINDS);
  private static final byte[] NOTHING = new byte[0];

  /** Takes what happens to a connection. */
  interface Owner {
    /** Takes the success of the handshake. */
    void onOpen(Connection connection, ProcessId peer);

    /** Takes a frame that is neither handshake nor heartbeat. */
    void onFrame(Connection connection, Frame frame) throws MalformedMessageException;

    /** Takes the end, once. */
    void onClosed(Connection connection, CloseReason reason);
  }

  private final NodeContext node;
  private final SocketChannel channel;
  private final Handshake handshake;
  private final OutgoingQueue queue;
  private final Owner owner;
  private final FrameReader reader = new FrameReader(MAXIMUM_HANDSHAKE_FRAME_BYTES);
  private final ByteBuffer staging = ByteBuffer.allocateDirect(STAGING_BYTES);
  private final SelectionKey key;
  private final Instant openedAt;
  private Instant lastReceivedAt;
  private Instant lastPingAt;
  private Optional<ProcessId> peer = Optional.empty();
  private boolean closed;

  /**
   * Watches a channel that is connecting or connected.
   *
   * @throws IOException if the channel cannot be watched
   */
  Connection(
      NodeContext node,
      SocketChannel channel,
      Handshake handshake,
      OutgoingQueue queue,
      Owner owner)
      throws IOException {
    this.node = node;
    this.channel = channel;
    this.handshake = handshake;
    this.queue = queue;
    this.owner = owner;
    this.openedAt = node.clock().instant();
    this.lastReceivedAt = openedAt;
    this.lastPingAt = openedAt;
    int operation = channel.isConnected() ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT;
    this.key = node.loop().register(channel, operation, this);
  }

  /** Begins the handshake if the channel is connected already. */
  void begin() {
    if (channel.isConnected()) {
      handshake.opening().ifPresent(this::sendHandshake);
    }
  }

  /** Returns the other end; empty until the handshake succeeded. */
  Optional<ProcessId> peer() {
    return peer;
  }

  boolean isClosed() {
    return closed;
  }

  /** Returns when the last byte came. */
  Instant lastReceivedAt() {
    return lastReceivedAt;
  }

  @Override
  public void onReady() {
    try {
      if (!closed && key.isConnectable()) {
        finishConnect();
      }
      if (!closed && key.isReadable()) {
        read();
      }
      if (!closed && key.isWritable()) {
        flush();
      }
    } catch (IOException broken) {
      close(CloseReason.Kind.BROKEN, String.valueOf(broken.getMessage()));
    } catch (MalformedMessageException malformed) {
      node.counters().malformedFrames.increment();
      close(CloseReason.Kind.MALFORMED, malformed.getMessage() + causeOf(malformed));
    } catch (HandshakeRefusedException refused) {
      node.counters().refusedHandshakes.increment();
      refuse(refused);
    }
  }

  /** Writes what the queue holds, as far as the other end takes it. */
  void flushQueue() {
    if (closed || !channel.isConnected()) {
      return;
    }
    try {
      flush();
    } catch (IOException broken) {
      close(CloseReason.Kind.BROKEN, String.valueOf(broken.getMessage()));
    }
  }

  /** Gives up a connection that is silent or that does not open; asks for a sign of life. */
  void onTick(Instant now, boolean asksForLife) {
    PeerTimings timings = node.timings();
    if (peer.isEmpty()) {
      if (now.isAfter(openedAt.plus(timings.openTimeout()))) {
        close(CloseReason.Kind.NOT_OPENED, "no handshake within " + timings.openTimeout());
      }
      return;
    }
    if (now.isAfter(lastReceivedAt.plus(timings.silenceTimeout()))) {
      node.counters().connectionsSilent.increment();
      close(CloseReason.Kind.SILENT, "no byte for " + timings.silenceTimeout());
      return;
    }
    if (asksForLife && !now.isBefore(lastPingAt.plus(timings.heartbeatInterval()))) {
      lastPingAt = now;
      sendControl(FrameType.PING, NOTHING);
    }
  }

  /** Closes the connection and tells the owner; does nothing the second time. */
  void close(CloseReason.Kind kind, String detail) {
    if (closed) {
      return;
    }
    closed = true;
    key.cancel();
    try {
      channel.close();
    } catch (IOException ignored) {
      // The connection is given up either way.
    }
    node.counters().connectionsClosed.increment();
    owner.onClosed(this, new CloseReason(kind, detail));
  }

  private void finishConnect() throws IOException {
    channel.finishConnect();
    key.interestOps(SelectionKey.OP_READ);
    begin();
  }

  private void read() throws IOException, MalformedMessageException, HandshakeRefusedException {
    int count = reader.readFrom(channel);
    if (count < 0) {
      close(CloseReason.Kind.ENDED, "the other end closed it");
      return;
    }
    node.counters().bytesReceived.add(count);
    lastReceivedAt = node.clock().instant();
    Optional<Frame> frame = reader.next();
    while (frame.isPresent() && !closed) {
      node.counters().framesReceived.increment();
      take(frame.get());
      frame = reader.next();
    }
  }

  private void take(Frame frame) throws MalformedMessageException, HandshakeRefusedException {
    if (peer.isEmpty()) {
      takeHandshake(frame);
      return;
    }
    switch (frame.type()) {
      case HANDSHAKE -> throw new MalformedMessageException("handshake after the handshake");
      case PING -> sendControl(FrameType.PONG, NOTHING);
      case PONG -> {
        // Any byte counts as a sign of life, so nothing is left to do.
      }
      default -> owner.onFrame(this, frame);
    }
  }

  private void takeHandshake(Frame frame)
      throws MalformedMessageException, HandshakeRefusedException {
    if (frame.type() != FrameType.HANDSHAKE) {
      throw new MalformedMessageException(frame.type() + " before the handshake");
    }
    Handshake.Step step = handshake.receive(HANDSHAKE_CODEC.decode(frame.payload()));
    step.reply().ifPresent(this::sendHandshake);
    if (step.peer().isPresent()) {
      peer = step.peer();
      reader.limitFrames(node.maximumFrameBytes());
      node.counters().connectionsOpened.increment();
      owner.onOpen(this, peer.get());
      flushQueue();
    }
  }

  private void sendHandshake(PeerMessage message) {
    sendControl(FrameType.HANDSHAKE, HANDSHAKE_CODEC.encode(message));
  }

  private void refuse(HandshakeRefusedException refused) {
    String reason = String.valueOf(refused.getMessage());
    if (!reason.startsWith("refused by")) {
      sendHandshake(new HandshakeMessages.Refused(reason));
    }
    close(CloseReason.Kind.REFUSED, reason);
  }

  private void sendControl(FrameType type, byte[] payload) {
    queue.addControl(new OutgoingFrame(Frame.encode(type, 0, payload)));
    flushQueue();
  }

  private void flush() throws IOException {
    while (true) {
      int ended = queue.drainTo(staging, peer.isPresent());
      node.counters().framesSent.add(ended);
      staging.flip();
      if (!staging.hasRemaining()) {
        staging.clear();
        key.interestOps(SelectionKey.OP_READ);
        return;
      }
      node.counters().bytesSent.add(channel.write(staging));
      boolean blocked = staging.hasRemaining();
      staging.compact();
      if (blocked) {
        key.interestOps(SelectionKey.OP_READ | SelectionKey.OP_WRITE);
        return;
      }
    }
  }

  private static String causeOf(MalformedMessageException malformed) {
    Throwable cause = malformed.getCause();
    return cause == null ? "" : ": " + cause.getClass().getSimpleName();
  }
}
