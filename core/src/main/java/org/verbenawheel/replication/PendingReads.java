package org.verbenawheel.replication;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.verbenawheel.identity.ProcessId;

/** The reads that wait for proof that this replica leads. Safe for use by many threads. */
final class PendingReads {
  private final Map<Long, PendingRead<?>> reads = new ConcurrentHashMap<>();
  private final AtomicLong lastToken = new AtomicLong();
  private final Supplier<Optional<ProcessId>> leader;

  /**
   * Makes an empty set.
   *
   * @param leader tells who leads, for refusals
   */
  PendingReads(Supplier<Optional<ProcessId>> leader) {
    this.leader = leader;
  }

  /** Adds a read. Returns its token. */
  <T> long add(Supplier<T> query, CompletableFuture<T> result) {
    long token = lastToken.incrementAndGet();
    reads.put(token, new PendingRead<>(query, result));
    return token;
  }

  /** Runs a read on the thread that owns the state. */
  void answer(long token, StateThread state) {
    PendingRead<?> read = reads.remove(token);
    if (read != null) {
      state.execute(read::run);
    }
  }

  /** Fails a read, because this replica does not lead. */
  void refuse(long token) {
    PendingRead<?> read = reads.remove(token);
    if (read != null) {
      read.result().completeExceptionally(new NotLeaderException(leader.get()));
    }
  }

  /** Fails all reads. */
  void stop() {
    reads.keySet().forEach(this::refuse);
  }

  private record PendingRead<T>(Supplier<T> query, CompletableFuture<T> result) {
    void run() {
      try {
        result.complete(query.get());
      } catch (RuntimeException failed) {
        result.completeExceptionally(failed);
      }
    }
  }
}
