package org.verbenawheel.wire;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.verbenawheel.codec.MalformedMessageException;
import org.verbenawheel.codec.MessageCodec;
import org.verbenawheel.event.Event;
import org.verbenawheel.event.EventLine;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.peer.PeerMessage;

/**
 * Accepts the connections that peers open, passes their messages to the handlers and sends replies
 * back. Confined to the event loop's thread.
 */
final class IncomingConnections implements EventLoop.ChannelListener, Connection.Owner {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** The maximum number of open connections, including those in the handshake. */
  static final int MAXIMUM_CONNECTIONS = 256;

  private static final int BACKLOG = 64;

  private final NodeContext node;
  private final MessageCodec codec;
  private final MessageDelivery delivery;
  private final Consumer<ProcessId> connectedPeerListener;
  private final ServerSocketChannel listener;
  private final InetSocketAddress address;
  private final Map<Connection, AcceptedConnection> connections = new LinkedHashMap<>();

  IncomingConnections(
      NodeContext node,
      MessageCodec codec,
      MessageDelivery delivery,
      InetSocketAddress requestedAddress,
      Consumer<ProcessId> connectedPeerListener)
      throws IOException {
    this.connectedPeerListener = connectedPeerListener;
    this.node = node;
    this.codec = codec;
    this.delivery = delivery;
    this.listener = ServerSocketChannel.open();
    try {
      listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
      listener.configureBlocking(false);
      listener.bind(requestedAddress, BACKLOG);
      this.address = (InetSocketAddress) listener.getLocalAddress();
      node.loop().register(listener, SelectionKey.OP_ACCEPT, this);
    } catch (IOException | RuntimeException failure) {
      listener.close();
      throw failure;
    }
  }

  @Override
  public void onReady() {
    try {
      SocketChannel channel = listener.accept();
      if (channel != null) {
        accept(channel);
      }
    } catch (IOException failure) {
      // Only this connection is affected: the listener can accept the next one.
      logger.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
          "%s",
          EventLine.of(Event.PEER_DISCONNECTED)
              .with("reason", "accept failed: " + failure.getMessage()));
    }
  }

  @Override
  public void onOpen(Connection connection, ProcessId peer) {
    // Not logged: the process that opened the connection logs it.
    connectedPeerListener.accept(peer);
  }

  @Override
  public void onFrame(Connection connection, Frame frame) throws MalformedMessageException {
    ProcessId peer = connection.peer().orElseThrow();
    switch (frame.type()) {
      case MESSAGE -> delivery.deliverMessage(peer, codec.decode(frame.payload()));
      case REQUEST -> handleRequest(connection, peer, frame);
      default ->
          throw new MalformedMessageException(frame.type() + " on a connection for requests");
    }
  }

  @Override
  public void onClosed(Connection connection, CloseReason reason) {
    Optional<AcceptedConnection> incoming = Optional.ofNullable(connections.remove(connection));
    incoming.ifPresent(closed -> closed.queue().clear());
    if (reason.kind() == CloseReason.Kind.STOPPED) {
      return;
    }
    logger.atWarning().atMostEvery(100, TimeUnit.MILLISECONDS).log(
        "%s",
        EventLine.of(reason.event())
            .with("peer", connection.peer().map(ProcessId::value).orElse("unknown"))
            .with("from", incoming.map(AcceptedConnection::address).orElse("unknown"))
            .with("reason", reason));
  }

  /** Closes silent connections and those that did not complete the handshake in time. */
  void onTick(Instant now) {
    List.copyOf(connections.keySet())
        .forEach(connection -> connection.onTick(now, /* sendsPings= */ false));
  }

  /** Stops accepting connections. */
  void stopListening() {
    try {
      listener.close();
    } catch (IOException ignored) {
      // The process is stopping either way.
    }
  }

  /** Stops accepting connections and closes the open ones. */
  void stop() {
    stopListening();
    List.copyOf(connections.keySet())
        .forEach(open -> open.close(CloseReason.Kind.STOPPED, "this process is stopping"));
  }

  /** Returns whether all replies are written. */
  boolean isIdle() {
    return connections.values().stream().allMatch(incoming -> incoming.queue().isEmpty());
  }

  /** Returns the address that the listener is bound to. */
  InetSocketAddress address() {
    return address;
  }

  int connectionCount() {
    return connections.size();
  }

  private void accept(SocketChannel channel) throws IOException {
    if (connections.size() >= MAXIMUM_CONNECTIONS) {
      channel.close();
      return;
    }
    try {
      channel.configureBlocking(false);
      channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
      OutgoingQueue queue = new OutgoingQueue(node.maximumQueueBytes());
      SocketAddress address = channel.getRemoteAddress();
      Connection connection = new Connection(node, channel, node.acceptingHandshake(), queue, this);
      connections.put(connection, new AcceptedConnection(queue, String.valueOf(address)));
    } catch (IOException | RuntimeException failure) {
      channel.close();
      throw failure;
    }
  }

  private void handleRequest(Connection connection, ProcessId peer, Frame frame)
      throws MalformedMessageException {
    PeerMessage request = codec.decode(frame.payload());
    Optional<CompletableFuture<PeerMessage>> reply = delivery.deliverRequest(peer, request);
    if (reply.isEmpty()) {
      sendReply(connection, FrameType.NOT_HANDLED, frame.correlation(), new byte[0]);
      return;
    }
    var unused =
        reply
            .get()
            .thenApply(codec::encode)
            .whenComplete((bytes, failure) -> sendResult(connection, frame, bytes, failure));
  }

  private void sendResult(
      Connection connection, Frame request, byte @Nullable [] bytes, @Nullable Throwable failure) {
    if (bytes != null) {
      sendReply(connection, FrameType.REPLY, request.correlation(), bytes);
      return;
    }
    logger.atWarning().withCause(failure).atMostEvery(1, TimeUnit.SECONDS).log(
        "%s",
        EventLine.of(Event.PEER_HANDLER_FAILED)
            .with("peer", connection.peer().map(ProcessId::value).orElse("unknown"))
            .with("error", String.valueOf(failure)));
    sendReply(connection, FrameType.HANDLER_FAILED, request.correlation(), new byte[0]);
  }

  /**
   * Sends a reply, from any thread. It is dropped if the connection is gone, the reply is too long,
   * or the queue is full because the peer does not read its replies.
   */
  private void sendReply(Connection connection, FrameType type, long correlation, byte[] payload) {
    OutgoingFrame frame = new OutgoingFrame(Frame.encode(type, correlation, payload));
    node.loop().execute(() -> enqueueReply(connection, frame));
  }

  private void enqueueReply(Connection connection, OutgoingFrame frame) {
    Optional<AcceptedConnection> incoming = Optional.ofNullable(connections.get(connection));
    boolean tooLong = frame.length() - Frame.LENGTH_BYTES > node.maximumFrameBytes();
    if (incoming.isEmpty() || tooLong || !incoming.get().queue().reserve(frame.length())) {
      node.counters().messagesDropped.increment();
      return;
    }
    incoming.get().queue().add(frame);
    connection.flushQueue();
  }

  private record AcceptedConnection(OutgoingQueue queue, String address) {}
}
