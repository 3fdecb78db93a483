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
 * Maintains the outgoing connection to one peer, which carries this process's messages and
 * requests. Opens the connection on first use, replaces it when it ends or goes silent, and fails
 * fast while the peer is unreachable.
 */
final class PeerLink implements Connection.Owner {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** The maximum number of requests that may await replies from one peer. */
  static final int MAXIMUM_PENDING_REQUESTS = 10_000;

  private final NodeContext node;
  private final ProcessId peer;
  private final InetSocketAddress address;
  private final MessageCodec codec;
  private final OutgoingQueue queue;
  private final PendingRequests pending;
  private final Backoff backoff;
  private final AtomicLong lastCorrelation = new AtomicLong();
  private final AtomicInteger pendingCount = new AtomicInteger();
  private Optional<Connection> connection = Optional.empty();
  private Instant nextAttemptAt = Instant.MIN;
  private boolean everUsed;
  private volatile boolean unreachable;
  private volatile boolean connected;
  private boolean stopped;
  private String lastLoggedReason = "";

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

  /**
   * Sends a one-way message, from any thread. Drops it if the peer is unreachable, the queue to it
   * is full, too many requests await replies, or the message is too long.
   */
  void send(PeerMessage message) {
    OutgoingFrame frame =
        new OutgoingFrame(Frame.encode(FrameType.MESSAGE, 0, codec.encode(message)));
    if (refusalReason(frame).isPresent()) {
      node.counters().messagesDropped.increment();
      return;
    }
    node.loop().execute(() -> enqueue(frame));
  }

  /**
   * Sends a request, from any thread. The reply fails with {@link PeerUnreachableException} if the
   * request cannot be sent, its connection ends, or the deadline passes.
   */
  CompletableFuture<PeerMessage> request(PeerMessage message, Instant deadline) {
    long correlation = lastCorrelation.incrementAndGet();
    OutgoingFrame frame =
        new OutgoingFrame(Frame.encode(FrameType.REQUEST, correlation, codec.encode(message)));
    Optional<String> refusal = refusalReason(frame);
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

  /** Expires requests, checks the connection for silence and reconnects when that is due. */
  void onTick(Instant now, boolean checkSilence) {
    pending.expire(now);
    pendingCount.set(pending.size());
    if (checkSilence) {
      connection.ifPresent(open -> open.onTick(now, /* sendsPings= */ true));
    }
    connectIfDue(now);
  }

  /** Called when the peer connected to this process: it is up, so reconnects without backoff. */
  void onIncomingConnection(Instant now) {
    if (connection.isEmpty()) {
      unreachable = false;
      nextAttemptAt = now;
      connectIfDue(now);
    }
  }

  /** Closes the connection, fails all pending requests and drops queued messages. */
  void stop() {
    stopped = true;
    connection.ifPresent(open -> open.close(CloseReason.Kind.STOPPED, "this process is stopping"));
    pending.failAll("this process is stopping");
    queue.clear();
  }

  /** Returns whether no frame is waiting to be written and no request awaits a reply. */
  boolean isIdle() {
    return queue.isEmpty() && pending.size() == 0;
  }

  /** Returns the state of this link for the operator's dump. */
  PeerNodeDump.Link dump(Instant now) {
    return new PeerNodeDump.Link(
        peer.value(),
        addressText(),
        connected,
        connection.map(open -> Duration.between(open.lastReceivedAt(), now).toMillis()),
        queue.queuedBytes(),
        pending.size());
  }

  @Override
  public void onOpen(Connection opened, ProcessId ignored) {
    backoff.reset();
    connected = true;
    unreachable = false;
    logger.atInfo().log(
        "%s", EventLine.of(Event.PEER_CONNECTED).with("peer", peer).with("address", addressText()));
    lastLoggedReason = "";
  }

  @Override
  public void onFrame(Connection from, Frame frame) throws MalformedMessageException {
    switch (frame.type()) {
      case REPLY -> {
        PeerMessage reply = codec.decode(frame.payload());
        takePending(frame).ifPresent(future -> future.complete(reply));
      }
      case HANDLER_FAILED ->
          failRequest(frame, RunVerdict.MAY_HAVE_RUN, "its handler failed; see the peer's log");
      case NOT_HANDLED ->
          failRequest(frame, RunVerdict.NOT_RUN, "it has no handler for this kind of request");
      default -> throw new MalformedMessageException(frame.type() + " on a connection for replies");
    }
  }

  @Override
  public void onClosed(Connection closed, CloseReason reason) {
    handleConnectionEnd(reason);
  }

  private Optional<String> refusalReason(OutgoingFrame frame) {
    if (frame.length() - Frame.LENGTH_BYTES > node.maximumFrameBytes()) {
      return Optional.of("message longer than " + node.maximumFrameBytes() + " bytes");
    }
    if (unreachable) {
      return Optional.of("unreachable; the connection attempt is repeated after a wait");
    }
    if (pendingCount.get() >= MAXIMUM_PENDING_REQUESTS) {
      return Optional.of("too many requests await replies");
    }
    if (!queue.reserve(frame.length())) {
      return Optional.of("the queue of outgoing messages to it is full");
    }
    return Optional.empty();
  }

  private void enqueue(OutgoingFrame frame) {
    everUsed = true;
    queue.add(frame);
    if (stopped) {
      stop();
      return;
    }
    connectIfDue(node.clock().instant());
    connection.filter(open -> open.peer().isPresent()).ifPresent(Connection::flushQueue);
  }

  private void connectIfDue(Instant now) {
    if (stopped || !everUsed || connection.isPresent() || now.isBefore(nextAttemptAt)) {
      return;
    }
    try {
      Connection opening = connect();
      connection = Optional.of(opening);
      opening.begin();
    } catch (IOException failure) {
      handleConnectionEnd(
          new CloseReason(CloseReason.Kind.BROKEN, String.valueOf(failure.getMessage())));
    }
  }

  private Connection connect() throws IOException {
    SocketChannel channel = SocketChannel.open();
    try {
      channel.configureBlocking(false);
      channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
      channel.connect(address);
      return new Connection(node, channel, node.dialingHandshake(peer), queue, this);
    } catch (IOException | RuntimeException failure) {
      channel.close();
      throw failure;
    }
  }

  private void handleConnectionEnd(CloseReason reason) {
    boolean wasConnected = connected;
    connected = false;
    connection = Optional.empty();
    Instant now = node.clock().instant();
    nextAttemptAt = wasConnected ? now : now.plus(backoff.nextWait());
    unreachable = !wasConnected;
    logConnectionEnd(reason, wasConnected);
    pending.failAll(reason.toString());
    pendingCount.set(0);
    node.counters().messagesDropped.add(queue.clear());
  }

  private void logConnectionEnd(CloseReason reason, boolean wasConnected) {
    boolean repeated = !wasConnected && lastLoggedReason.equals(reason.toString());
    if (stopped || repeated) {
      return;
    }
    lastLoggedReason = reason.toString();
    logger.atWarning().log(
        "%s",
        EventLine.of(reason.event())
            .with("peer", peer)
            .with("address", addressText())
            .with("reason", reason));
  }

  private Optional<CompletableFuture<PeerMessage>> takePending(Frame frame) {
    Optional<CompletableFuture<PeerMessage>> future = pending.remove(frame.correlation());
    pendingCount.set(pending.size());
    return future;
  }

  private void failRequest(Frame frame, RunVerdict verdict, String reason) {
    takePending(frame)
        .ifPresent(
            future ->
                future.completeExceptionally(new PeerUnreachableException(peer, verdict, reason)));
  }

  private String addressText() {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }
}
