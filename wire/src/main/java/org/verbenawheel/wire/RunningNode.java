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

/** The event loop and connections of a {@link PeerNode} between a start and its stop. */
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
   * Opens the listener and starts the thread.
   *
   * @throws IOException if the listener cannot be opened
   */
  RunningNode(
      PeerNodeSettings settings,
      MessageCodec codec,
      MessageDelivery delivery,
      PeerCounters counters,
      Consumer<Throwable> failed)
      throws IOException {
    EventLoop loop = new EventLoop("peer-node-" + settings.self(), this::tick, failed);
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
        new IncomingConnections(node, codec, delivery, settings.listenAddress(), this::onPeerSeen);
    loop.start();
  }

  /** Returns the link to a peer; empty if no such process belongs to the deployment. */
  Optional<PeerLink> link(ProcessId peer) {
    Optional<PeerLink> known = Optional.ofNullable(links.get(peer));
    if (known.isPresent() || peer.equals(node.self())) {
      return known;
    }
    return node.peers()
        .addressOf(peer)
        .map(address -> links.computeIfAbsent(peer, wanted -> newLink(wanted, address)));
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

  /** Writes what waits, at most for a time, and closes everything. */
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

  /** Returns the state, read on the event loop's thread. */
  PeerNodeDump dump() {
    CompletableFuture<PeerNodeDump> dump = new CompletableFuture<>();
    node.loop().execute(() -> dump.complete(dumpOnLoop()));
    return dump.completeOnTimeout(emptyDump(), DUMP_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS)
        .join();
  }

  private void onPeerSeen(ProcessId peer) {
    link(peer).ifPresent(link -> link.onPeerSeen(node.clock().instant()));
  }

  private void beginDrain() {
    draining = true;
    incoming.stopListening();
    reportIfDrained();
  }

  private void closeAll() {
    links.values().forEach(PeerLink::stop);
    incoming.stop();
  }

  private void tick() {
    Instant now = node.clock().instant();
    // After a pause of this process itself the peers' bytes wait unread: judge at the next tick.
    boolean paused =
        Duration.between(lastTickAt, now).multipliedBy(2).compareTo(node.timings().silenceTimeout())
            > 0;
    lastTickAt = now;
    links.values().forEach(link -> link.onTick(now, !paused));
    if (!paused) {
      incoming.onTick(now);
    }
    reportIfDrained();
  }

  private void reportIfDrained() {
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
        incoming.size(),
        node.counters().snapshot());
  }

  private PeerNodeDump emptyDump() {
    return new PeerNodeDump(node.self().value(), ImmutableList.of(), 0, node.counters().snapshot());
  }
}
