package org.verbenawheel.wire;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounded queue of the frames to be written to one peer. The limit is in bytes.
 *
 * <p>The sender's thread reserves the bytes of a frame, so that the sender learns at once if a slow
 * peer's queue is full and the event loop never holds more than the limit. All other methods are
 * confined to the event loop's thread. Heartbeats and handshakes overtake queued messages, but do
 * not interrupt a message that is partly written.
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

  /** Reserves bytes for a message frame, from any thread. Returns false if the queue is full. */
  boolean reserve(int bytes) {
    if (reservedBytes.addAndGet(bytes) <= maximumBytes) {
      return true;
    }
    reservedBytes.addAndGet(-bytes);
    return false;
  }

  /** Releases the bytes reserved for a frame that left the queue. */
  void release(int bytes) {
    reservedBytes.addAndGet(-bytes);
  }

  /** Adds a message frame whose bytes were reserved. */
  void add(OutgoingFrame frame) {
    messages.add(frame);
  }

  /** Adds a heartbeat or handshake frame, or drops it if the maximum number is queued already. */
  void addControl(OutgoingFrame frame) {
    if (control.size() < MAXIMUM_CONTROL_FRAMES) {
      control.add(frame);
    }
  }

  /** Returns whether no message is queued and no frame is partly written. */
  boolean isEmpty() {
    return messages.isEmpty() && current.isEmpty();
  }

  /** Returns the number of bytes reserved for message frames. */
  long queuedBytes() {
    return reservedBytes.get();
  }

  /**
   * Moves bytes of queued frames into a buffer until the buffer is full or the queue is empty.
   *
   * @param target receives the bytes
   * @param withMessages whether to include messages, or only control frames
   * @return the number of frames whose last byte was moved
   */
  int drainTo(ByteBuffer target, boolean withMessages) {
    int completedFrames = 0;
    while (target.hasRemaining() && selectFrame(withMessages)) {
      OutgoingFrame frame = current.orElseThrow();
      frame.copyTo(target);
      if (frame.isFullyCopied()) {
        current = Optional.empty();
        completedFrames++;
      }
    }
    return completedFrames;
  }

  /** Drops all frames and returns the number of messages whose writing had not begun. */
  int clear() {
    int dropped = messages.size();
    messages.forEach(frame -> release(frame.length()));
    messages.clear();
    control.clear();
    current = Optional.empty();
    return dropped;
  }

  private boolean selectFrame(boolean withMessages) {
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
