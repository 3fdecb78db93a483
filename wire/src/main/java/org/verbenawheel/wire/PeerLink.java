package org.verbenawheel.wire;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.verbenawheel.codec.MalformedMessageException;
import org.verbenawheel.codec.MessageCodec;
import org.verbenawheel.event.Event;
import org.verbenawheel.event.EventLine;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.peer.PeerMessage;
import org.verbenawheel.peer.PeerUnreachableException;
import org.verbenawheel.request.RunVerdict;

/**
 * Keeps one connection to one peer for this process's own messages and requests: opens it at the
 * first use, replaces it when it ends or goes silent, and fails fast while the peer is out of
 * reach.
 */
final class PeerLink implements Connection.Owner {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** The most requests that may await replies of one peer. */
  static final int MAXIMUM_PENDING_REQUESTS = 10_000;

  private final NodeContext node;
  private final ProcessId peer;
  private final InetSocketAddress address;
  private final MessageCodec codec;
  private final OutgoingQueue queue;
  private final PendingRequests pending;
  private final Backoff backoff;
  private final AtomicLong correlations = new AtomicLong();
  private final AtomicInteger pendingCount = new AtomicInteger();
  private Optional<Connection> connection = Optional.empty();
  private Instant nextAttemptAt = Instant.MIN;
  private boolean wanted;
  private volatile boolean outOfReach;
  private volatile boolean connected;
  private boolean stopped;
  private String lastFailure = "";

  PeerLink(NodeContext node, ProcessId peer, InetSocketAddress address, MessageCodec codec) {
    this.node = node;
    this.peer = peer;
    this.address = address;
    this.codec = codec;
    this.queue = new OutgoingQueue(node.maximumQueueBytes());
    this.pending = new PendingRequests(peer);
    long seed = 31L * node.self().hashCode() + peer.hashCode();
    this.backoff =
        new Backoff(node.timings().firstRetryWait(), node.timings().longestRetryWait(), seed);
  }

  /** Sends a message, from any thread; drops it if the peer is out of reach or slow. */
  void send(PeerMessage message) {
    OutgoingFrame frame =
        new OutgoingFrame(Frame.encode(FrameType.MESSAGE, 0, codec.encode(message)));
    if (whyNotNow(frame).isPresent()) {
      node.counters().messagesDropped.increment();
      return;
    }
    node.loop().execute(() -> enqueue(frame));
  }

  /** Sends a request, from any thread. */
  CompletableFuture<PeerMessage> request(PeerMessage message, Instant deadline) {
    long correlation = correlations.incrementAndGet();
    OutgoingFrame frame =
        new OutgoingFrame(Frame.encode(FrameType.REQUEST, correlation, codec.encode(message)));
    Optional<String> refusal = whyNotNow(frame);
    if (refusal.isPresent()) {
      return CompletableFuture.failedFuture(
          new PeerUnreachableException(peer, RunVerdict.NOT_RUN, refusal.get()));
    }
    CompletableFuture<PeerMessage> reply = new CompletableFuture<>();
    pendingCount.incrementAndGet();
    node.loop()
        .execute(
            () -> {
              pending.add(correlation, frame, deadline, reply);
              enqueue(frame);
            });
    return reply;
  }

  /** Does what is due: deadlines, heartbeats, the next attempt to connect. */
  void onTick(Instant now, boolean judgeSilence) {
    pending.expire(now);
    pendingCount.set(pending.size());
    if (judgeSilence) {
      connection.ifPresent(open -> open.onTick(now, /* asksForLife= */ true));
    }
    connectIfDue(now);
  }

  /** Takes the news that the peer reached this process: it is worth dialing at once. */
  void onPeerSeen(Instant now) {
    if (connection.isEmpty()) {
      outOfReach = false;
      nextAttemptAt = now;
      connectIfDue(now);
    }
  }

  /** Ends the connection and fails what waits. */
  void stop() {
    stopped = true;
    connection.ifPresent(open -> open.close(CloseReason.Kind.STOPPED, "this process stops"));
    pending.failAll("this process stops");
    queue.clear();
  }

  /** Returns whether nothing waits to be written or answered. */
  boolean isIdle() {
    return queue.isEmpty() && pending.size() == 0;
  }

  /** Returns the state for a person. */
  PeerNodeDump.Link dump(Instant now) {
    return new PeerNodeDump.Link(
        peer.value(),
        addressText(),
        connected,
        connection.map(open -> Duration.between(open.lastReceivedAt(), now).toMillis()),
        queue.bytes(),
        pending.size());
  }

  @Override
  public void onOpen(Connection opened, ProcessId ignored) {
    backoff.reset();
    connected = true;
    outOfReach = false;
    logger.atInfo().log(
        "%s", EventLine.of(Event.PEER_CONNECTED).with("peer", peer).with("address", addressText()));
    lastFailure = "";
  }

  @Override
  public void onFrame(Connection from, Frame frame) throws MalformedMessageException {
    switch (frame.type()) {
      case REPLY -> {
        PeerMessage reply = codec.decode(frame.payload());
        take(frame).ifPresent(future -> future.complete(reply));
      }
      case HANDLER_FAILED ->
          fail(frame, RunVerdict.MAY_HAVE_RUN, "its handler failed; see the peer's log");
      case NOT_HANDLED ->
          fail(frame, RunVerdict.NOT_RUN, "it has no handler for this kind of request");
      default -> throw new MalformedMessageException(frame.type() + " on a connection for replies");
    }
  }

  @Override
  public void onClosed(Connection closed, CloseReason reason) {
    ended(reason);
  }

  private Optional<String> whyNotNow(OutgoingFrame frame) {
    if (frame.length() - Frame.LENGTH_BYTES > node.maximumFrameBytes()) {
      return Optional.of("message longer than " + node.maximumFrameBytes() + " bytes");
    }
    if (outOfReach) {
      return Optional.of("out of reach; trying again");
    }
    if (pendingCount.get() >= MAXIMUM_PENDING_REQUESTS) {
      return Optional.of("too many requests await replies");
    }
    if (!queue.reserve(frame.length())) {
      return Optional.of("the queue to it is full");
    }
    return Optional.empty();
  }

  private void enqueue(OutgoingFrame frame) {
    wanted = true;
    queue.add(frame);
    if (stopped) {
      stop();
      return;
    }
    connectIfDue(node.clock().instant());
    connection.filter(open -> open.peer().isPresent()).ifPresent(Connection::flushQueue);
  }

  private void connectIfDue(Instant now) {
    if (stopped || !wanted || connection.isPresent() || now.isBefore(nextAttemptAt)) {
      return;
    }
    try {
      Connection opening = connect();
      connection = Optional.of(opening);
      opening.begin();
    } catch (IOException failure) {
      ended(new CloseReason(CloseReason.Kind.BROKEN, String.valueOf(failure.getMessage())));
    }
  }

  private Connection connect() throws IOException {
    SocketChannel channel = SocketChannel.open();
    try {
      channel.configureBlocking(false);
      channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
      channel.connect(address);
      return new Connection(node, channel, node.dialing(peer), queue, this);
    } catch (IOException | RuntimeException failure) {
      channel.close();
      throw failure;
    }
  }

  private void ended(CloseReason reason) {
    boolean wasConnected = connected;
    connected = false;
    connection = Optional.empty();
    Instant now = node.clock().instant();
    nextAttemptAt = wasConnected ? now : now.plus(backoff.afterFailure());
    outOfReach = !wasConnected;
    logEnd(reason, wasConnected);
    pending.failAll(reason.toString());
    pendingCount.set(0);
    node.counters().messagesDropped.add(queue.clear());
  }

  private void logEnd(CloseReason reason, boolean wasConnected) {
    boolean repeated = !wasConnected && lastFailure.equals(reason.toString());
    if (stopped || repeated) {
      return;
    }
    lastFailure = reason.toString();
    logger.atWarning().log(
        "%s",
        EventLine.of(reason.event())
            .with("peer", peer)
            .with("address", addressText())
            .with("reason", reason));
  }

  private Optional<CompletableFuture<PeerMessage>> take(Frame frame) {
    Optional<CompletableFuture<PeerMessage>> future = pending.take(frame.correlation());
    pendingCount.set(pending.size());
    return future;
  }

  private void fail(Frame frame, RunVerdict verdict, String reason) {
    take(frame)
        .ifPresent(
            future ->
                future.completeExceptionally(new PeerUnreachableException(peer, verdict, reason)));
  }

  private String addressText() {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }
}
