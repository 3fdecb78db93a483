package org.verbenawheel.wire;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.verbenawheel.codec.MessageCodec;
import org.verbenawheel.event.Event;
import org.verbenawheel.event.EventLine;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.peer.PeerHandler;
import org.verbenawheel.peer.PeerLinks;
import org.verbenawheel.peer.PeerMessage;
import org.verbenawheel.peer.PeerUnreachableException;
import org.verbenawheel.request.RunVerdict;
import org.verbenawheel.supervision.FailureListener;
import org.verbenawheel.supervision.PartFailedException;
import org.verbenawheel.supervision.SupervisedPart;

/**
 * Exchanges typed messages with the other processes of a deployment over TCP.
 *
 * <p>Each process opens one connection to each peer that it sends to; replies use the same
 * connection. One thread serves all connections, so handlers must not block. Can be restarted:
 * after {@link #stop}, {@link #start} opens a new listener and new connections.
 */
public final class PeerNode implements SupervisedPart, PeerLinks {
  /** The default maximum length of a message, in bytes. */
  public static final int DEFAULT_MAXIMUM_FRAME_BYTES = 4 * 1024 * 1024;

  /** The default maximum length of the queue to one peer, in bytes. */
  public static final long DEFAULT_MAXIMUM_QUEUE_BYTES = 8L * 1024 * 1024;

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final PeerNodeSettings settings;
  private final MessageCodec codec;
  private final PeerCounters counters = new PeerCounters();
  private final MessageDelivery delivery = new MessageDelivery();
  private volatile Optional<RunningNode> running = Optional.empty();

  PeerNode(PeerNodeSettings settings) {
    this.settings = settings;
    this.codec = new MessageCodec(settings.kinds());
  }

  /** Returns a builder. The process's name, its address and the secret are required. */
  public static PeerNodeBuilder builder() {
    return new PeerNodeBuilder();
  }

  /**
   * Adds a handler. Every handler receives each one-way message; the first that returns a reply
   * answers a request.
   *
   * @param handler called on the thread of all connections; must not block
   */
  public void addHandler(PeerHandler handler) {
    delivery.addHandler(handler);
  }

  @Override
  public String name() {
    return "peer-node";
  }

  @Override
  public void start(FailureListener failures) throws PartFailedException {
    try {
      running =
          Optional.of(
              new RunningNode(
                  settings,
                  codec,
                  delivery,
                  counters,
                  failure -> reportFailure(failure, failures)));
    } catch (IOException failure) {
      throw new PartFailedException(
          "cannot listen on "
              + settings.listenAddress()
              + ": check that the address is this host's and that no other process has the port",
          failure);
    }
  }

  @Override
  public void stop(Duration grace) {
    Optional<RunningNode> stopping = running;
    running = Optional.empty();
    stopping.ifPresent(node -> node.stop(grace));
  }

  @Override
  public CompletableFuture<PeerMessage> request(
      ProcessId peer, PeerMessage message, Duration timeout) {
    Optional<RunningNode> node = running;
    if (node.isEmpty()) {
      return failedAsNotRun(peer, "the peer connections of this process are not started");
    }
    if (peer.equals(settings.self())) {
      return requestSelf(node.get(), message);
    }
    return node.get()
        .link(peer)
        .map(link -> link.request(message, settings.clock().instant().plus(timeout)))
        .orElseGet(() -> failedAsNotRun(peer, "the settings name no address for it"));
  }

  @Override
  public void send(ProcessId peer, PeerMessage message) {
    Optional<RunningNode> node = running;
    if (node.isPresent() && peer.equals(settings.self())) {
      node.get().execute(() -> delivery.deliverMessage(peer, message));
      return;
    }
    Optional<PeerLink> link = node.flatMap(open -> open.link(peer));
    if (link.isEmpty()) {
      counters.messagesDropped.increment();
      return;
    }
    link.get().send(message);
  }

  /**
   * Returns the address that peers connect to, with the actual port if the settings have port 0.
   */
  public InetSocketAddress listenAddress() {
    return running.map(RunningNode::listenAddress).orElse(settings.listenAddress());
  }

  /** Returns the counters, for metrics. */
  public PeerCounters counters() {
    return counters;
  }

  /** Returns the current state for an operator. */
  public PeerNodeDump dump() {
    return running
        .map(RunningNode::dump)
        .orElseGet(
            () ->
                new PeerNodeDump(
                    settings.self().value(), ImmutableList.of(), 0, counters.snapshot()));
  }

  private CompletableFuture<PeerMessage> requestSelf(RunningNode node, PeerMessage message) {
    CompletableFuture<PeerMessage> reply = new CompletableFuture<>();
    node.execute(() -> answerSelf(message, reply));
    return reply;
  }

  private void answerSelf(PeerMessage message, CompletableFuture<PeerMessage> reply) {
    var unused =
        delivery
            .deliverRequest(settings.self(), message)
            .orElseGet(() -> failedAsNotRun(settings.self(), "no handler for this kind of request"))
            .whenComplete((answer, failure) -> completeReply(answer, failure, reply));
  }

  private void completeReply(
      @Nullable PeerMessage answer,
      @Nullable Throwable failure,
      CompletableFuture<PeerMessage> reply) {
    if (answer != null) {
      reply.complete(answer);
    } else if (failure instanceof PeerUnreachableException unreachable) {
      reply.completeExceptionally(unreachable);
    } else {
      reply.completeExceptionally(
          new PeerUnreachableException(
              settings.self(), RunVerdict.MAY_HAVE_RUN, "its handler failed; see the log"));
    }
  }

  private static CompletableFuture<PeerMessage> failedAsNotRun(ProcessId peer, String reason) {
    return CompletableFuture.failedFuture(
        new PeerUnreachableException(peer, RunVerdict.NOT_RUN, reason));
  }

  private static void reportFailure(Throwable failure, FailureListener failures) {
    logger.atSevere().withCause(failure).log(
        "%s",
        EventLine.of(Event.PART_FAILED)
            .with("part", "peer-node")
            .with("error", String.valueOf(failure.getMessage())));
    failures.onFailure(
        new PartFailedException("the event loop thread of peer-node failed", failure));
  }
}
