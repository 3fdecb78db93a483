package org.verbenawheel.wire;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.util.Optional;
import org.verbenawheel.codec.MalformedMessageException;

/**
 * Cuts a stream of bytes into frames.
 *
 * <p>The buffer grows with the bytes that arrived, not with the length that a frame claims, so that
 * a false length costs nothing; it never grows beyond one longest frame.
 */
final class FrameReader {
  private static final int INITIAL_CAPACITY_BYTES = 16 * 1024;

  private ByteBuffer buffer = ByteBuffer.allocate(INITIAL_CAPACITY_BYTES);
  private int maximumFrameBytes;

  FrameReader(int maximumFrameBytes) {
    this.maximumFrameBytes = maximumFrameBytes;
  }

  /** Changes the longest frame accepted from now on. */
  void limitFrames(int maximumBytes) {
    this.maximumFrameBytes = maximumBytes;
  }

  /** Reads what a channel has; returns the number of bytes, or -1 at its end. */
  int readFrom(ReadableByteChannel channel) throws IOException {
    ensureRoom();
    return channel.read(buffer);
  }

  /**
   * Takes the next whole frame.
   *
   * @return empty if more bytes are needed
   * @throws MalformedMessageException if the bytes cannot be a frame
   */
  Optional<Frame> next() throws MalformedMessageException {
    ByteBuffer unread = buffer.duplicate().flip();
    if (unread.remaining() < Frame.LENGTH_BYTES) {
      return Optional.empty();
    }
    int length = checkedLength(unread.getInt());
    if (unread.remaining() < length) {
      return Optional.empty();
    }
    byte typeNumber = unread.get();
    FrameType type =
        FrameType.ofNumber(typeNumber)
            .orElseThrow(
                () -> new MalformedMessageException("frame type not known: " + typeNumber));
    long correlation = unread.getLong();
    byte[] payload = new byte[length - Frame.HEADER_BYTES];
    unread.get(payload);
    discard(Frame.LENGTH_BYTES + length);
    return Optional.of(new Frame(type, correlation, payload));
  }

  /** Returns the bytes that the buffer takes. */
  int capacity() {
    return buffer.capacity();
  }

  private int checkedLength(int length) throws MalformedMessageException {
    if (length < Frame.HEADER_BYTES || length > maximumFrameBytes) {
      throw new MalformedMessageException(
          "frame of " + length + " bytes; the longest accepted is " + maximumFrameBytes);
    }
    return length;
  }

  private void discard(int bytes) {
    buffer.flip().position(bytes);
    if (buffer.hasRemaining() || buffer.capacity() == INITIAL_CAPACITY_BYTES) {
      buffer.compact();
      return;
    }
    buffer = ByteBuffer.allocate(INITIAL_CAPACITY_BYTES);
  }

  private void ensureRoom() {
    if (buffer.hasRemaining()) {
      return;
    }
    buffer = ByteBuffer.allocate(2 * buffer.capacity()).put(buffer.flip());
  }
}
