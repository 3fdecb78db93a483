package org.verbenawheel.peer;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.verbenawheel.identity.ProcessId;

/**
 * Sends messages and requests to other processes of the system. Opens the connections, checks them
 * by heartbeats and replaces broken ones. Thread-safe; never blocks.
 */
public interface PeerLinks {
  /**
   * Sends a request.
   *
   * @param peer the receiving process, which the settings must name
   * @param message the request
   * @param timeout how long to wait for the reply
   * @return the reply; fails with {@link PeerUnreachableException}, which has the verdict whether
   *     the peer may have read the request
   */
  CompletableFuture<PeerMessage> request(ProcessId peer, PeerMessage message, Duration timeout);

  /**
   * Sends a one-way message. It may be lost without an error.
   *
   * @param peer the receiving process
   * @param message the message
   */
  void send(ProcessId peer, PeerMessage message);
}
