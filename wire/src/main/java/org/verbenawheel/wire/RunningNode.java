package org.verbenawheel.wire;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.verbenawheel.codec.MessageCodec;
import org.verbenawheel.identity.ProcessId;

/** The event loop, listener and connections of a {@link PeerNode} from one start to the stop. */
final class RunningNode {
  private static final long DUMP_TIMEOUT_MILLISECONDS = 1000;

  private final NodeContext node;
  private final MessageCodec codec;
  private final Map<ProcessId, PeerLink> links = new ConcurrentHashMap<>();
  private final IncomingConnections incoming;
  private final CountDownLatch drained = new CountDownLatch(1);
  private Instant lastTickAt;
  private boolean draining;

  /**
   * Opens the listener and starts the event loop's thread.
   *
   * @throws IOException if the listener cannot be opened
   */
  RunningNode(
      PeerNodeSettings settings,
      MessageCodec codec,
      MessageDelivery delivery,
      PeerCounters counters,
      Consumer<Throwable> failureHandler)
      throws IOException {
    EventLoop loop = new EventLoop("peer-node-" + settings.self(), this::tick, failureHandler);
    this.node =
        new NodeContext(
            settings.self(),
            settings.peers(),
            settings.secret(),
            settings.clock(),
            settings.timings(),
            settings.maximumFrameBytes(),
            settings.maximumQueueBytes(),
            loop,
            counters);
    this.codec = codec;
    this.lastTickAt = node.clock().instant();
    this.incoming =
        new IncomingConnections(
            node, codec, delivery, settings.listenAddress(), this::onIncomingConnection);
    loop.start();
  }

  /** Returns the link to a peer; empty for this process and for processes not in the deployment. */
  Optional<PeerLink> link(ProcessId peer) {
    Optional<PeerLink> existing = Optional.ofNullable(links.get(peer));
    if (existing.isPresent() || peer.equals(node.self())) {
      return existing;
    }
    return node.peers()
        .addressOf(peer)
        .map(address -> links.computeIfAbsent(peer, absent -> newLink(absent, address)));
  }

  private PeerLink newLink(ProcessId peer, InetSocketAddress address) {
    return new PeerLink(node, peer, address, codec);
  }

  InetSocketAddress listenAddress() {
    return incoming.address();
  }

  /** Runs a task on the event loop's thread. */
  void execute(Runnable task) {
    node.loop().execute(task);
  }

  /** Waits up to the grace time for queued frames and replies, then closes all connections. */
  void stop(Duration grace) {
    try {
      node.loop().execute(this::beginDrain);
      drained.await(grace.toNanos(), TimeUnit.NANOSECONDS);
      node.loop().execute(this::closeAll);
      node.loop().stop();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Returns the state, read on the event loop's thread. Has only the counters if that thread does
   * not respond within {@value #DUMP_TIMEOUT_MILLISECONDS} ms.
   */
  PeerNodeDump dump() {
    CompletableFuture<PeerNodeDump> dump = new CompletableFuture<>();
    node.loop().execute(() -> dump.complete(dumpOnLoop()));
    return dump.completeOnTimeout(emptyDump(), DUMP_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS)
        .join();
  }

  private void onIncomingConnection(ProcessId peer) {
    link(peer).ifPresent(link -> link.onIncomingConnection(node.clock().instant()));
  }

  private void beginDrain() {
    draining = true;
    incoming.stopListening();
    signalIfDrained();
  }

  private void closeAll() {
    links.values().forEach(PeerLink::stop);
    incoming.stop();
  }

  private void tick() {
    Instant now = node.clock().instant();
    // After a pause of this process, received bytes may still be unread. So silence is only checked
    // at the next tick.
    boolean wasPaused =
        Duration.between(lastTickAt, now).multipliedBy(2).compareTo(node.timings().silenceTimeout())
            > 0;
    lastTickAt = now;
    links.values().forEach(link -> link.onTick(now, !wasPaused));
    if (!wasPaused) {
      incoming.onTick(now);
    }
    signalIfDrained();
  }

  private void signalIfDrained() {
    if (draining && incoming.isIdle() && links.values().stream().allMatch(PeerLink::isIdle)) {
      drained.countDown();
    }
  }

  private PeerNodeDump dumpOnLoop() {
    Instant now = node.clock().instant();
    return new PeerNodeDump(
        node.self().value(),
        links.values().stream()
            .map(link -> link.dump(now))
            .collect(ImmutableList.toImmutableList()),
        incoming.connectionCount(),
        node.counters().snapshot());
  }

  private PeerNodeDump emptyDump() {
    return new PeerNodeDump(node.self().value(), ImmutableList.of(), 0, node.counters().snapshot());
  }
}
