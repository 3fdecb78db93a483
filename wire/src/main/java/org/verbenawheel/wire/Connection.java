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
 * One TCP connection to a peer: reads and writes frames, runs the handshake and detects silence.
 * Confined to the event loop's thread.
 */
final class Connection implements EventLoop.ChannelListener {
  private static final int STAGING_BYTES = 16 * 1024;
  private static final int MAXIMUM_HANDSHAKE_FRAME_BYTES = 1024;
  private static final MessageCodec HANDSHAKE_CODEC = new MessageCodec(HandshakeMessages.KINDS);
  private static final byte[] EMPTY_PAYLOAD = new byte[0];

  /** Receives the events of a connection, on the event loop's thread. */
  interface Owner {
    /** Called once when the handshake succeeded. */
    void onOpen(Connection connection, ProcessId peer);

    /** Called for each frame that is neither a handshake nor a heartbeat. */
    void onFrame(Connection connection, Frame frame) throws MalformedMessageException;

    /** Called once when the connection was closed by either end. */
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
   * Registers a connecting or connected channel with the event loop.
   *
   * @throws IOException if the channel cannot be registered
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

  /** Sends the first handshake message if the channel is connected already. */
  void begin() {
    if (channel.isConnected()) {
      handshake.firstMessage().ifPresent(this::sendHandshake);
    }
  }

  /** Returns the process at the other end; empty until the handshake succeeded. */
  Optional<ProcessId> peer() {
    return peer;
  }

  boolean isClosed() {
    return closed;
  }

  /** Returns when the last byte was received. */
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
      close(CloseReason.Kind.MALFORMED, malformed.getMessage() + causeSuffix(malformed));
    } catch (HandshakeRefusedException refused) {
      node.counters().refusedHandshakes.increment();
      refuse(refused);
    }
  }

  /** Writes queued frames until the queue is empty or the socket accepts no more bytes. */
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

  /**
   * Closes the connection if it exceeded the open timeout or the silence timeout. Otherwise sends a
   * PING if one is due and {@code sendsPings} is set.
   */
  void onTick(Instant now, boolean sendsPings) {
    PeerTimings timings = node.timings();
    if (peer.isEmpty()) {
      if (now.isAfter(openedAt.plus(timings.openTimeout()))) {
        close(CloseReason.Kind.NOT_OPENED, "no handshake within " + timings.openTimeout());
      }
      return;
    }
    if (now.isAfter(lastReceivedAt.plus(timings.silenceTimeout()))) {
      node.counters().connectionsSilent.increment();
      close(CloseReason.Kind.SILENT, "no bytes received for " + timings.silenceTimeout());
      return;
    }
    if (sendsPings && !now.isBefore(lastPingAt.plus(timings.heartbeatInterval()))) {
      lastPingAt = now;
      sendControl(FrameType.PING, EMPTY_PAYLOAD);
    }
  }

  /** Closes the connection and notifies the owner. Does nothing if it is closed already. */
  void close(CloseReason.Kind kind, String detail) {
    if (closed) {
      return;
    }
    closed = true;
    key.cancel();
    try {
      channel.close();
    } catch (IOException ignored) {
      // The connection is closed either way.
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
      close(CloseReason.Kind.ENDED, "the other end closed the connection");
      return;
    }
    node.counters().bytesReceived.add(count);
    lastReceivedAt = node.clock().instant();
    Optional<Frame> frame = reader.nextFrame();
    while (frame.isPresent() && !closed) {
      node.counters().framesReceived.increment();
      dispatch(frame.get());
      frame = reader.nextFrame();
    }
  }

  private void dispatch(Frame frame) throws MalformedMessageException, HandshakeRefusedException {
    if (peer.isEmpty()) {
      receiveHandshake(frame);
      return;
    }
    switch (frame.type()) {
      case HANDSHAKE -> throw new MalformedMessageException("handshake frame after the handshake");
      case PING -> sendControl(FrameType.PONG, EMPTY_PAYLOAD);
      case PONG -> {
        // Any received byte ends the silence, so nothing is left to do.
      }
      default -> owner.onFrame(this, frame);
    }
  }

  private void receiveHandshake(Frame frame)
      throws MalformedMessageException, HandshakeRefusedException {
    if (frame.type() != FrameType.HANDSHAKE) {
      throw new MalformedMessageException(frame.type() + " frame before the end of the handshake");
    }
    Handshake.Step step = handshake.receive(HANDSHAKE_CODEC.decode(frame.payload()));
    step.reply().ifPresent(this::sendHandshake);
    if (step.peer().isPresent()) {
      peer = step.peer();
      reader.setMaximumFrameBytes(node.maximumFrameBytes());
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
      int framesEnded = queue.drainTo(staging, peer.isPresent());
      node.counters().framesSent.add(framesEnded);
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

  private static String causeSuffix(MalformedMessageException malformed) {
    Throwable cause = malformed.getCause();
    return cause == null ? "" : ": " + cause.getClass().getSimpleName();
  }
}
