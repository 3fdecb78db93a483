package org.verbenawheel.wire;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.util.Optional;
import org.verbenawheel.codec.MalformedMessageException;

/**
 * Splits the byte stream of a connection into frames.
 *
 * <p>The buffer grows with the bytes received, not with the length that a frame claims, so that a
 * false length allocates nothing. It never grows beyond one frame of the maximum length.
 */
final class FrameReader {
  private static final int INITIAL_CAPACITY_BYTES = 16 * 1024;

  private ByteBuffer buffer = ByteBuffer.allocate(INITIAL_CAPACITY_BYTES);
  private int maximumFrameBytes;

  FrameReader(int maximumFrameBytes) {
    this.maximumFrameBytes = maximumFrameBytes;
  }

  /** Sets the maximum frame length for the frames that follow. */
  void setMaximumFrameBytes(int maximumBytes) {
    this.maximumFrameBytes = maximumBytes;
  }

  /** Reads the available bytes and returns their number, or -1 if the channel was closed. */
  int readFrom(ReadableByteChannel channel) throws IOException {
    ensureCapacity();
    return channel.read(buffer);
  }

  /**
   * Removes and returns the next complete frame, or empty if more bytes are needed.
   *
   * @throws MalformedMessageException if the length or the type of the frame is invalid
   */
  Optional<Frame> nextFrame() throws MalformedMessageException {
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
            .orElseThrow(() -> new MalformedMessageException("unknown frame type: " + typeNumber));
    long correlation = unread.getLong();
    byte[] payload = new byte[length - Frame.HEADER_BYTES];
    unread.get(payload);
    discard(Frame.LENGTH_BYTES + length);
    return Optional.of(new Frame(type, correlation, payload));
  }

  /** Returns the current size of the buffer in bytes. */
  int capacity() {
    return buffer.capacity();
  }

  private int checkedLength(int length) throws MalformedMessageException {
    if (length < Frame.HEADER_BYTES || length > maximumFrameBytes) {
      throw new MalformedMessageException(
          "invalid frame length of "
              + length
              + " bytes; the maximum in bytes is "
              + maximumFrameBytes);
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

  private void ensureCapacity() {
    if (buffer.hasRemaining()) {
      return;
    }
    buffer = ByteBuffer.allocate(2 * buffer.capacity()).put(buffer.flip());
  }
}
