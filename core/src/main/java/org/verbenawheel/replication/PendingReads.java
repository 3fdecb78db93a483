package org.verbenawheel.replication;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.verbenawheel.identity.ProcessId;

/** Reads that wait until a quorum confirms that this replica leads. Thread-safe. */
final class PendingReads {
  private final Map<Long, PendingRead<?>> reads = new ConcurrentHashMap<>();
  private final AtomicLong lastToken = new AtomicLong();
  private final Supplier<Optional<ProcessId>> leader;

  /**
   * Creates an empty set of reads.
   *
   * @param leader returns the current leader, for the error of a refused read
   */
  PendingReads(Supplier<Optional<ProcessId>> leader) {
    this.leader = leader;
  }

  /** Adds a read. Returns the token that identifies it. */
  <T> long add(Supplier<T> query, CompletableFuture<T> result) {
    long token = lastToken.incrementAndGet();
    reads.put(token, new PendingRead<>(query, result));
    return token;
  }

  /** Runs a confirmed read on the thread that owns the state, and completes its result. */
  void execute(long token, StateThread state) {
    PendingRead<?> read = reads.remove(token);
    if (read != null) {
      state.execute(read::run);
    }
  }

  /** Fails a read with {@link NotLeaderException}. */
  void refuse(long token) {
    PendingRead<?> read = reads.remove(token);
    if (read != null) {
      read.result().completeExceptionally(new NotLeaderException(leader.get()));
    }
  }

  /** Fails all reads, because the replica stops. */
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
