package org.verbenawheel.replication;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.peer.PeerHandler;
import org.verbenawheel.peer.PeerLinks;
import org.verbenawheel.peer.PeerMessage;
import org.verbenawheel.peer.PeerUnreachableException;
import org.verbenawheel.request.RunVerdict;

/** Links that pass messages to the own process directly to its handler, without the network. */
final class LoopbackLinks implements PeerLinks {
  private final ProcessId self;
  private final PeerHandler handler;
  private final PeerLinks others;

  LoopbackLinks(ProcessId self, PeerHandler handler, PeerLinks others) {
    this.self = self;
    this.handler = handler;
    this.others = others;
  }

  @Override
  public CompletableFuture<PeerMessage> request(
      ProcessId peer, PeerMessage message, Duration timeout) {
    if (!peer.equals(self)) {
      return others.request(peer, message, timeout);
    }
    Optional<CompletableFuture<PeerMessage>> reply = handler.onRequest(self, message);
    return reply.orElseGet(
        () ->
            CompletableFuture.failedFuture(
                new PeerUnreachableException(self, RunVerdict.NOT_RUN, "no handler")));
  }

  @Override
  public void send(ProcessId peer, PeerMessage message) {
    if (peer.equals(self)) {
      handler.onMessage(self, message);
      return;
    }
    others.send(peer, message);
  }
}
