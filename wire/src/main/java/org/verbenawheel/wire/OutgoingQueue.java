package org.verbenawheel.wire;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Holds the frames that wait for one peer, up to a number of bytes.
 *
 * <p>Room is reserved on the sender's thread, so that a sender learns at once that a slow peer's
 * queue is full and the event loop never holds more than the limit. All else belongs to the event
 * loop's thread. Heartbeats and handshakes go before messages, but never inside one.
 */
final class OutgoingQueue {
  private static final int MAXIMUM_CONTROL_FRAMES = 16;

  private final long maximumBytes;
  private final AtomicLong reservedBytes = new AtomicLong();
  private final Deque<OutgoingFrame> control = new ArrayDeque<>();
  private final Deque<OutgoingFrame> messages = new ArrayDeque<>();
  private Optional<OutgoingFrame> current = Optional.empty();

  OutgoingQueue(long maximumBytes) {
    this.maximumBytes = maximumBytes;
  }

  /** Reserves room for a message frame, from any thread; returns false if the queue is full. */
  boolean reserve(int bytes) {
    if (reservedBytes.addAndGet(bytes) <= maximumBytes) {
      return true;
    }
    reservedBytes.addAndGet(-bytes);
    return false;
  }

  /** Gives back room that was reserved for a frame that is not added after all. */
  void release(int bytes) {
    reservedBytes.addAndGet(-bytes);
  }

  /** Adds a message frame whose room was reserved. */
  void add(OutgoingFrame frame) {
    messages.add(frame);
  }

  /** Adds a heartbeat or handshake frame; drops it if many wait already. */
  void addControl(OutgoingFrame frame) {
    if (control.size() < MAXIMUM_CONTROL_FRAMES) {
      control.add(frame);
    }
  }

  /** Returns whether no message waits or is half written. */
  boolean isEmpty() {
    return messages.isEmpty() && current.isEmpty();
  }

  /** Returns the bytes reserved at present. */
  long bytes() {
    return reservedBytes.get();
  }

  /**
   * Moves bytes into a buffer until it is full or nothing is left.
   *
   * @param target takes the bytes
   * @param withMessages whether messages may go, or only control frames
   * @return how many frames ended
   */
  int drainTo(ByteBuffer target, boolean withMessages) {
    int ended = 0;
    while (target.hasRemaining() && hasCurrent(withMessages)) {
      OutgoingFrame frame = current.orElseThrow();
      frame.copyTo(target);
      if (frame.done()) {
        current = Optional.empty();
        ended++;
      }
    }
    return ended;
  }

  /** Drops all frames; returns how many messages were lost. */
  int clear() {
    int dropped = messages.size();
    messages.forEach(frame -> release(frame.length()));
    messages.clear();
    control.clear();
    current = Optional.empty();
    return dropped;
  }

  private boolean hasCurrent(boolean withMessages) {
    if (current.isEmpty()) {
      current = Optional.ofNullable(control.poll());
    }
    while (current.isEmpty() && withMessages && !messages.isEmpty()) {
      OutgoingFrame next = messages.remove();
      release(next.length());
      if (!next.cancelled()) {
        current = Optional.of(next);
      }
    }
    return current.isPresent();
  }
}
