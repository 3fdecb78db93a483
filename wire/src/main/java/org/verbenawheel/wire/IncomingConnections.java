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
 * Takes the connections that peers open, hands their messages to the handlers and sends replies
 * back. Belongs to the event loop's thread.
 */
final class IncomingConnections implements EventLoop.ChannelListener, Connection.Owner {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** The most connections that may be open at once, handshakes included. */
  static final int MAXIMUM_CONNECTIONS = 256;

  private static final int BACKLOG = 64;

  private final NodeContext node;
  private final MessageCodec codec;
  private final MessageDelivery delivery;
  private final Consumer<ProcessId> peerSeen;
  private final ServerSocketChannel listener;
  private final InetSocketAddress address;
  private final Map<Connection, Incoming> connections = new LinkedHashMap<>();

  IncomingConnections(
      NodeContext node,
      MessageCodec codec,
      MessageDelivery delivery,
      InetSocketAddress requestedAddress,
      Consumer<ProcessId> peerSeen)
      throws IOException {
    this.peerSeen = peerSeen;
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
      // The listener itself is sound: the next connection may succeed.
      logger.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
          "%s",
          EventLine.of(Event.PEER_DISCONNECTED)
              .with("reason", "accept failed: " + failure.getMessage()));
    }
  }

  @Override
  public void onOpen(Connection connection, ProcessId peer) {
    // The peer logs that it connected; a second line here would say the same.
    peerSeen.accept(peer);
  }

  @Override
  public void onFrame(Connection connection, Frame frame) throws MalformedMessageException {
    ProcessId peer = connection.peer().orElseThrow();
    switch (frame.type()) {
      case MESSAGE -> delivery.deliver(peer, codec.decode(frame.payload()));
      case REQUEST -> answer(connection, peer, frame);
      default ->
          throw new MalformedMessageException(frame.type() + " on a connection for requests");
    }
  }

  @Override
  public void onClosed(Connection connection, CloseReason reason) {
    Optional<Incoming> incoming = Optional.ofNullable(connections.remove(connection));
    incoming.ifPresent(closed -> closed.queue().clear());
    if (reason.kind() == CloseReason.Kind.STOPPED) {
      return;
    }
    logger.atWarning().atMostEvery(100, TimeUnit.MILLISECONDS).log(
        "%s",
        EventLine.of(reason.event())
            .with("peer", connection.peer().map(ProcessId::value).orElse("unknown"))
            .with("from", incoming.map(Incoming::address).orElse("unknown"))
            .with("reason", reason));
  }

  /** Watches for silent connections. */
  void onTick(Instant now) {
    List.copyOf(connections.keySet())
        .forEach(connection -> connection.onTick(now, /* asksForLife= */ false));
  }

  /** Takes no more connections. */
  void stopListening() {
    try {
      listener.close();
    } catch (IOException ignored) {
      // The process stops either way.
    }
  }

  /** Ends all connections. */
  void stop() {
    stopListening();
    List.copyOf(connections.keySet())
        .forEach(open -> open.close(CloseReason.Kind.STOPPED, "this process stops"));
  }

  /** Returns whether no reply waits to be written. */
  boolean isIdle() {
    return connections.values().stream().allMatch(incoming -> incoming.queue().isEmpty());
  }

  /** Returns the address that the listener is bound to. */
  InetSocketAddress address() {
    return address;
  }

  int size() {
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
      Connection connection = new Connection(node, channel, node.accepting(), queue, this);
      connections.put(connection, new Incoming(queue, String.valueOf(address)));
    } catch (IOException | RuntimeException failure) {
      channel.close();
      throw failure;
    }
  }

  private void answer(Connection connection, ProcessId peer, Frame frame)
      throws MalformedMessageException {
    PeerMessage request = codec.decode(frame.payload());
    Optional<CompletableFuture<PeerMessage>> reply = delivery.ask(peer, request);
    if (reply.isEmpty()) {
      reply(connection, FrameType.NOT_HANDLED, frame.correlation(), new byte[0]);
      return;
    }
    var unused =
        reply
            .get()
            .thenApply(codec::encode)
            .whenComplete((bytes, failure) -> answered(connection, frame, bytes, failure));
  }

  private void answered(
      Connection connection, Frame request, byte @Nullable [] bytes, @Nullable Throwable failure) {
    if (bytes != null) {
      reply(connection, FrameType.REPLY, request.correlation(), bytes);
      return;
    }
    logger.atWarning().withCause(failure).atMostEvery(1, TimeUnit.SECONDS).log(
        "%s",
        EventLine.of(Event.PEER_HANDLER_FAILED)
            .with("peer", connection.peer().map(ProcessId::value).orElse("unknown"))
            .with("error", String.valueOf(failure)));
    reply(connection, FrameType.HANDLER_FAILED, request.correlation(), new byte[0]);
  }

  /** Sends a reply, from any thread; drops it if the peer does not take its replies. */
  private void reply(Connection connection, FrameType type, long correlation, byte[] payload) {
    OutgoingFrame frame = new OutgoingFrame(Frame.encode(type, correlation, payload));
    node.loop().execute(() -> enqueueReply(connection, frame));
  }

  private void enqueueReply(Connection connection, OutgoingFrame frame) {
    Optional<Incoming> incoming = Optional.ofNullable(connections.get(connection));
    boolean tooLong = frame.length() - Frame.LENGTH_BYTES > node.maximumFrameBytes();
    if (incoming.isEmpty() || tooLong || !incoming.get().queue().reserve(frame.length())) {
      node.counters().messagesDropped.increment();
      return;
    }
    incoming.get().queue().add(frame);
    connection.flushQueue();
  }

  private record Incoming(OutgoingQueue queue, String address) {}
}
