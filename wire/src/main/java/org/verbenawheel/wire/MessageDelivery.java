package org.verbenawheel.wire;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import org.verbenawheel.event.Event;
import org.verbenawheel.event.EventLine;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.peer.PeerHandler;
import org.verbenawheel.peer.PeerMessage;

/**
 * Delivers messages to the registered handlers. Every handler receives a one-way message; the first
 * handler that returns a reply answers a request. An exception of a handler is logged and affects
 * neither one-way messages to other handlers nor the connection.
 */
final class MessageDelivery {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final List<PeerHandler> handlers = new CopyOnWriteArrayList<>();

  void addHandler(PeerHandler handler) {
    handlers.add(handler);
  }

  /** Delivers a one-way message to every handler. */
  void deliverMessage(ProcessId from, PeerMessage message) {
    for (PeerHandler handler : handlers) {
      try {
        handler.onMessage(from, message);
      } catch (RuntimeException failure) {
        logFailure(from, message, failure);
      }
    }
  }

  /**
   * Delivers a request. Returns the reply, which fails if the handler throws, or empty if no
   * handler handles this kind of request.
   */
  Optional<CompletableFuture<PeerMessage>> deliverRequest(ProcessId from, PeerMessage message) {
    for (PeerHandler handler : handlers) {
      try {
        Optional<CompletableFuture<PeerMessage>> reply = handler.onRequest(from, message);
        if (reply.isPresent()) {
          return reply;
        }
      } catch (RuntimeException failure) {
        logFailure(from, message, failure);
        return Optional.of(CompletableFuture.failedFuture(failure));
      }
    }
    return Optional.empty();
  }

  private static void logFailure(ProcessId from, PeerMessage message, RuntimeException failure) {
    logger.atSevere().withCause(failure).log(
        "%s",
        EventLine.of(Event.PEER_HANDLER_FAILED)
            .with("peer", from)
            .with("kind", message.getClass().getSimpleName())
            .with("error", String.valueOf(failure.getMessage())));
  }
}
