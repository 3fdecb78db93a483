package org.verbenawheel.peer;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.verbenawheel.identity.ProcessId;

/** Takes the messages of other processes. Called on a connection's thread: must not block. */
public interface PeerHandler {
  /**
   * Takes a message that has no reply.
   *
   * @param from the process that sent it
   * @param message the message
   */
  void onMessage(ProcessId from, PeerMessage message);

  /**
   * Takes a message that expects a reply.
   *
   * @param from the process that sent it
   * @param message the message
   * @return the reply; empty if this handler has none for that kind of message
   */
  Optional<CompletableFuture<PeerMessage>> onRequest(ProcessId from, PeerMessage message);
}
