package org.verbenawheel.membership;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.peer.PeerHandler;
import org.verbenawheel.peer.PeerLinks;
import org.verbenawheel.peer.PeerMessage;
import org.verbenawheel.peer.PeerUnreachableException;
import org.verbenawheel.request.RunVerdict;

/**
 * In-memory links between the nodes of one test. Messages arrive in order, on one thread; requests
 * are handled on the calling thread.
 */
final class FakeLinks implements AutoCloseable {
  private final Map<ProcessId, PeerHandler> handlers = new ConcurrentHashMap<>();
  private final ExecutorService delivery = Executors.newSingleThreadExecutor();

  void connect(ProcessId process, PeerHandler handler) {
    handlers.put(process, handler);
  }

  void disconnect(ProcessId process) {
    handlers.remove(process);
  }

  /** Returns the links of one process to all others. */
  PeerLinks of(ProcessId self) {
    return new Links(self);
  }

  @Override
  public void close() {
    delivery.shutdownNow();
  }

  private final class Links implements PeerLinks {
    private final ProcessId self;

    Links(ProcessId self) {
      this.self = self;
    }

    @Override
    public CompletableFuture<PeerMessage> request(
        ProcessId peer, PeerMessage message, Duration timeout) {
      return Optional.ofNullable(handlers.get(peer))
          .flatMap(handler -> handler.onRequest(self, message))
          .orElseGet(
              () ->
                  CompletableFuture.failedFuture(
                      new PeerUnreachableException(peer, RunVerdict.NOT_RUN, "not connected")));
    }

    @Override
    public void send(ProcessId peer, PeerMessage message) {
      delivery.execute(
          () ->
              Optional.ofNullable(handlers.get(peer))
                  .ifPresent(handler -> handler.onMessage(self, message)));
    }
  }
}
