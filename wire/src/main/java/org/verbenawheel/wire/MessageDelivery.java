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
 * Hands messages to the handlers: every handler sees a message, the first that has a reply answers
 * a request. A handler that throws harms neither the others nor the connection.
 */
final class MessageDelivery {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final List<PeerHandler> handlers = new CopyOnWriteArrayList<>();

  void add(PeerHandler handler) {
    handlers.add(handler);
  }

  /** Hands over a message that has no reply. */
  void deliver(ProcessId from, PeerMessage message) {
    for (PeerHandler handler : handlers) {
      try {
        handler.onMessage(from, message);
      } catch (RuntimeException fault) {
        report(from, message, fault);
      }
    }
  }

  /** Hands over a request; returns the reply, or empty if no handler takes this kind. */
  Optional<CompletableFuture<PeerMessage>> ask(ProcessId from, PeerMessage message) {
    for (PeerHandler handler : handlers) {
      try {
        Optional<CompletableFuture<PeerMessage>> reply = handler.onRequest(from, message);
        if (reply.isPresent()) {
          return reply;
        }
      } catch (RuntimeException fault) {
        report(from, message, fault);
        return Optional.of(CompletableFuture.failedFuture(fault));
      }
    }
    return Optional.empty();
  }

  private static void report(ProcessId from, PeerMessage message, RuntimeException fault) {
    logger.atSevere().withCause(fault).log(
        "%s",
        EventLine.of(Event.PEER_HANDLER_FAILED)
            .with("peer", from)
            .with("kind", message.getClass().getSimpleName())
            .with("error", String.valueOf(fault.getMessage())));
  }
}
