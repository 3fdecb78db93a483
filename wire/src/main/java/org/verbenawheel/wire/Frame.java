package org.verbenawheel.wire;

import java.nio.ByteBuffer;

/**
 * One received frame: its type, the correlation number of a request or reply, and the payload.
 *
 * <p>On the wire a frame is a 4-byte length of the remaining bytes, a 1-byte type, an 8-byte
 * correlation number and the payload, all big-endian.
 */
final class Frame {
  /** The size of the length field that starts a frame. */
  static final int LENGTH_BYTES = Integer.BYTES;

  /** The size of the fields between the length and the payload. */
  static final int HEADER_BYTES = Byte.BYTES + Long.BYTES;

  private final FrameType type;
  private final long correlation;
  private final byte[] payload;

  Frame(FrameType type, long correlation, byte[] payload) {
    this.type = type;
    this.correlation = correlation;
    this.payload = payload;
  }

  /** Encodes a frame, including its length field. */
  static ByteBuffer encode(FrameType type, long correlation, byte[] payload) {
    return ByteBuffer.allocate(LENGTH_BYTES + HEADER_BYTES + payload.length)
        .putInt(HEADER_BYTES + payload.length)
        .put(type.number())
        .putLong(correlation)
        .put(payload)
        .flip();
  }

  FrameType type() {
    return type;
  }

  /** Returns the number that matches a reply to its request; zero for other types. */
  long correlation() {
    return correlation;
  }

  /** Returns the encoded message without copying it. */
  byte[] payload() {
    return payload;
  }
}
