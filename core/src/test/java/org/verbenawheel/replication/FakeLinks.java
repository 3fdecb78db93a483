package org.verbenawheel.replication;

import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.verbenawheel.codec.MalformedMessageException;
import org.verbenawheel.codec.MessageCodec;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.peer.PeerHandler;
import org.verbenawheel.peer.PeerLinks;
import org.verbenawheel.peer.PeerMessage;
import org.verbenawheel.peer.PeerUnreachableException;
import org.verbenawheel.request.RunVerdict;

/** Connects the handlers of a test in memory. Processes can be partitioned, and replies lost. */
final class FakeLinks implements AutoCloseable {
  private final Map<ProcessId, PeerHandler> handlers = new ConcurrentHashMap<>();
  private final Map<ProcessId, ExecutorService> threads = new ConcurrentHashMap<>();
  private final Set<ProcessId> cutOff = ConcurrentHashMap.newKeySet();
  private final MessageCodec codec;
  private final AtomicLong bytesSent = new AtomicLong();
  private volatile boolean losesReplies;

  FakeLinks(MessageCodec codec) {
    this.codec = codec;
  }

  void register(ProcessId process, PeerHandler handler) {
    handlers.put(process, handler);
  }

  void cutOff(ProcessId process) {
    cutOff.add(process);
  }

  void reconnect(ProcessId process) {
    cutOff.remove(process);
  }

  void setLosesReplies(boolean value) {
    losesReplies = value;
  }

  /** Returns the links of one process. */
  PeerLinks of(ProcessId self) {
    return new PeerLinks() {
      @Override
      public CompletableFuture<PeerMessage> request(
          ProcessId peer, PeerMessage message, Duration timeout) {
        return deliverRequest(self, peer, message, timeout);
      }

      @Override
      public void send(ProcessId peer, PeerMessage message) {
        deliver(self, peer, message);
      }
    };
  }

  private CompletableFuture<PeerMessage> deliverRequest(
      ProcessId from, ProcessId to, PeerMessage message, Duration timeout) {
    PeerHandler handler = handlers.get(to);
    if (handler == null || isCut(from, to)) {
      return CompletableFuture.failedFuture(
          new PeerUnreachableException(to, RunVerdict.NOT_RUN, "no connection"));
    }
    CompletableFuture<PeerMessage> reply =
        handler.onRequest(from, copy(message)).orElseGet(CompletableFuture::new);
    if (losesReplies) {
      return CompletableFuture.failedFuture(
          new PeerUnreachableException(to, RunVerdict.MAY_HAVE_RUN, "reply lost"));
    }
    return reply
        .thenApply(this::copy)
        .orTimeout(Math.max(1, timeout.toMillis()), TimeUnit.MILLISECONDS);
  }

  private void deliver(ProcessId from, ProcessId to, PeerMessage message) {
    PeerHandler handler = handlers.get(to);
    if (handler == null || isCut(from, to)) {
      return;
    }
    PeerMessage copy = copy(message);
    threads
        .computeIfAbsent(to, process -> Executors.newSingleThreadExecutor())
        .execute(() -> handler.onMessage(from, copy));
  }

  private boolean isCut(ProcessId from, ProcessId to) {
    return cutOff.contains(from) || cutOff.contains(to);
  }

  private PeerMessage copy(PeerMessage message) {
    try {
      byte[] bytes = codec.encode(message);
      bytesSent.addAndGet(bytes.length);
      return codec.decode(bytes);
    } catch (MalformedMessageException malformed) {
      throw new IllegalStateException(malformed);
    }
  }

  /** Returns the encoded size of all messages and replies so far. */
  long bytesSent() {
    return bytesSent.get();
  }

  @Override
  public void close() {
    threads.values().forEach(ExecutorService::shutdownNow);
  }
}
