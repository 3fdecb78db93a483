package org.verbenawheel.peer;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.verbenawheel.identity.ProcessId;

/**
 * Sends messages to other processes of the system over connections that it opens, checks by
 * heartbeats and replaces. Safe for use by many threads; never blocks.
 */
public interface PeerLinks {
  /**
   * Sends a message and expects a reply to it.
   *
   * @param peer the process to ask; must be one that the settings name
   * @param message the message
   * @param timeout how long to wait for the reply
   * @return the reply; or fails with {@link PeerUnreachableException}, whose verdict says whether
   *     the peer may have read the message
   */
  CompletableFuture<PeerMessage> request(ProcessId peer, PeerMessage message, Duration timeout);

  /**
   * Sends a message that has no reply. It may be lost without a word.
   *
   * @param peer the process to tell
   * @param message the message
   */
  void send(ProcessId peer, PeerMessage message);
}
