package org.verbenawheel.wire;

import java.nio.ByteBuffer;

/** One encoded frame waiting to be written. Confined to the event loop's thread. */
final class OutgoingFrame {
  private final ByteBuffer bytes;
  private final int length;
  private boolean started;
  private boolean cancelled;

  OutgoingFrame(ByteBuffer bytes) {
    this.bytes = bytes;
    this.length = bytes.remaining();
  }

  /** Returns the length of the whole frame in bytes. */
  int length() {
    return length;
  }

  /** Returns whether any byte was copied to a connection, so that the peer may receive it. */
  boolean started() {
    return started;
  }

  /** Prevents the frame from being written. Has no effect if writing has begun. */
  void cancel() {
    cancelled = true;
  }

  boolean cancelled() {
    return cancelled;
  }

  /** Returns whether all bytes were copied to the connection. */
  boolean isFullyCopied() {
    return !bytes.hasRemaining();
  }

  /** Copies as many of the remaining bytes as fit. */
  void copyTo(ByteBuffer target) {
    started = true;
    int count = Math.min(bytes.remaining(), target.remaining());
    target.put(bytes.slice(bytes.position(), count));
    bytes.position(bytes.position() + count);
  }
}
