package org.verbenawheel.wire;

import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.concurrent.CompletableFuture;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.peer.PeerMessage;
import org.verbenawheel.peer.PeerUnreachableException;
import org.verbenawheel.request.RunVerdict;

/**
 * Tracks the requests to one peer that await a reply. Confined to the event loop's thread.
 *
 * <p>A request of which no byte was written did not run; any other may have been read by the peer.
 */
final class PendingRequests {
  private static final Comparator<Pending> BY_DEADLINE = Comparator.comparing(Pending::deadline);

  private final ProcessId peer;
  private final Map<Long, Pending> pending = new HashMap<>();
  private final PriorityQueue<Pending> deadlines = new PriorityQueue<>(BY_DEADLINE);

  PendingRequests(ProcessId peer) {
    this.peer = peer;
  }

  int size() {
    return pending.size();
  }

  /** Adds a request until its reply, its deadline or the end of its connection. */
  void add(
      long correlation,
      OutgoingFrame frame,
      Instant deadline,
      CompletableFuture<PeerMessage> reply) {
    Pending request = new Pending(correlation, frame, deadline, reply);
    pending.put(correlation, request);
    deadlines.add(request);
  }

  /** Removes a request and returns its future, or empty if it no longer awaits a reply. */
  Optional<CompletableFuture<PeerMessage>> remove(long correlation) {
    return Optional.ofNullable(pending.remove(correlation)).map(Pending::reply);
  }

  /** Fails the requests whose deadline has passed, and prevents unsent ones from being written. */
  void expire(Instant now) {
    while (!deadlines.isEmpty() && !deadlines.element().deadline().isAfter(now)) {
      Pending expired = deadlines.remove();
      if (pending.remove(expired.correlation()) != null) {
        expired.frame().cancel();
        fail(expired, "no reply in time");
      }
    }
  }

  /** Fails all requests, for example because their connection ended. */
  void failAll(String reason) {
    Map<Long, Pending> failing = new HashMap<>(pending);
    pending.clear();
    deadlines.clear();
    failing.values().forEach(request -> fail(request, reason));
  }

  private void fail(Pending request, String reason) {
    RunVerdict verdict = request.frame().started() ? RunVerdict.MAY_HAVE_RUN : RunVerdict.NOT_RUN;
    request.reply().completeExceptionally(new PeerUnreachableException(peer, verdict, reason));
  }

  private record Pending(
      long correlation,
      OutgoingFrame frame,
      Instant deadline,
      CompletableFuture<PeerMessage> reply) {}
}
