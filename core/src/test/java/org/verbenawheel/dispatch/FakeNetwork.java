package org.verbenawheel.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.peer.PeerHandler;
import org.verbenawheel.peer.PeerLinks;
import org.verbenawheel.peer.PeerMessage;

/**
 * Carries messages between entries in virtual time, with random delay, in order for each pair of
 * entries. Loses a configurable share of them.
 */
final class FakeNetwork {
  private final VirtualTime time;
  private final Random random;
  private final Duration latency;
  private final Map<ProcessId, PeerHandler> handlers = new HashMap<>();
  private final Map<String, Instant> lastArrival = new HashMap<>();
  private double lossShare;
  private long messages;

  FakeNetwork(VirtualTime time, Random random, Duration latency) {
    this.time = time;
    this.random = random;
    this.latency = latency;
  }

  void attach(ProcessId process, PeerHandler handler) {
    handlers.put(process, handler);
  }

  void detach(ProcessId process) {
    handlers.remove(process);
  }

  void setLossShare(double share) {
    lossShare = share;
  }

  /** Returns how many messages were sent, lost ones included. */
  long messages() {
    return messages;
  }

  /** Returns the links on which one process sends. */
  PeerLinks linksOf(ProcessId from) {
    return new PeerLinks() {
      @Override
      public CompletableFuture<PeerMessage> request(
          ProcessId peer, PeerMessage message, Duration timeout) {
        throw new UnsupportedOperationException();
      }

      @Override
      public void send(ProcessId peer, PeerMessage message) {
        carry(from, peer, message);
      }
    };
  }

  private void carry(ProcessId from, ProcessId to, PeerMessage message) {
    messages++;
    if (random.nextDouble() < lossShare) {
      return;
    }
    Duration jitter = latency.multipliedBy(random.nextInt(100)).dividedBy(100);
    Instant arrival = time.instant().plus(latency).plus(jitter);
    Instant previous = lastArrival.getOrDefault(from + ">" + to, Instant.MIN);
    Instant inOrder = arrival.isAfter(previous) ? arrival : previous;
    lastArrival.put(from + ">" + to, inOrder);
    time.schedule(Duration.between(time.instant(), inOrder), () -> deliver(from, to, message));
  }

  private void deliver(ProcessId from, ProcessId to, PeerMessage message) {
    PeerHandler handler = handlers.get(to);
    if (handler != null) {
      handler.onMessage(from, message);
    }
  }
}
