package org.verbenawheel.wire;

import java.nio.ByteBuffer;

/** One frame that waits to be written. Belongs to the event loop's thread. */
final class OutgoingFrame {
  private final ByteBuffer bytes;
  private final int length;
  private boolean started;
  private boolean cancelled;

  OutgoingFrame(ByteBuffer bytes) {
    this.bytes = bytes;
    this.length = bytes.remaining();
  }

  /** Returns the whole length in bytes. */
  int length() {
    return length;
  }

  /** Returns whether any byte was handed to the connection. */
  boolean started() {
    return started;
  }

  /** Keeps the frame from being written, unless that has begun. */
  void cancel() {
    cancelled = true;
  }

  boolean cancelled() {
    return cancelled;
  }

  /** Returns whether nothing is left to write. */
  boolean done() {
    return !bytes.hasRemaining();
  }

  /** Copies as many bytes as fit. */
  void copyTo(ByteBuffer target) {
    started = true;
    int count = Math.min(bytes.remaining(), target.remaining());
    target.put(bytes.slice(bytes.position(), count));
    bytes.position(bytes.position() + count);
  }
}
