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
 * Remembers the requests to one peer that await a reply. Belongs to the event loop's thread.
 *
 * <p>A request whose frame was never begun did not run; of any other the peer may have read all.
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

  /** Remembers a request. */
  void add(
      long correlation,
      OutgoingFrame frame,
      Instant deadline,
      CompletableFuture<PeerMessage> reply) {
    Pending request = new Pending(correlation, frame, deadline, reply);
    pending.put(correlation, request);
    deadlines.add(request);
  }

  /** Takes the future of a request that got its reply; empty if it is not awaited any more. */
  Optional<CompletableFuture<PeerMessage>> take(long correlation) {
    return Optional.ofNullable(pending.remove(correlation)).map(Pending::reply);
  }

  /** Fails the requests whose deadline has passed. */
  void expire(Instant now) {
    while (!deadlines.isEmpty() && !deadlines.element().deadline().isAfter(now)) {
      Pending late = deadlines.remove();
      if (pending.remove(late.correlation()) != null) {
        late.frame().cancel();
        fail(late, "no reply in time");
      }
    }
  }

  /** Fails all requests because their connection is gone. */
  void failAll(String reason) {
    Map<Long, Pending> lost = new HashMap<>(pending);
    pending.clear();
    deadlines.clear();
    lost.values().forEach(request -> fail(request, reason));
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
