package org.verbenawheel.peer;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.verbenawheel.identity.ProcessId;

/**
 * Handles messages from other processes. Called on the thread that serves all connections of this
 * process, so implementations must not block.
 */
public interface PeerHandler {
  /**
   * Handles a one-way message. Every registered handler receives it.
   *
   * @param from the sending process
   * @param message a message of any registered kind
   */
  void onMessage(ProcessId from, PeerMessage message);

  /**
   * Handles a request. The first handler that returns a reply answers it.
   *
   * @param from the sending process
   * @param message a message of any registered kind
   * @return the reply, or empty if this handler does not handle this kind of request
   */
  Optional<CompletableFuture<PeerMessage>> onRequest(ProcessId from, PeerMessage message);
}
