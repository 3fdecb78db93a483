package org.verbenawheel.replication;

import static com.google.common.base.Preconditions.checkState;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Arrays;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/**
 * Encoded bytes inside a message or a log entry. Immutable by convention: the array is shared.
 *
 * <p>A payload may keep its bytes compressed in memory; this shows in no other way.
 */
public final class Payload {
  /** The payload without bytes. */
  public static final Payload EMPTY = of(new byte[0]);

  private final byte[] stored;
  private final int length;

  /**
   * Creates a payload.
   *
   * @param stored the bytes, compressed if they are fewer than the length
   * @param length the number of bytes of the payload
   */
  private Payload(byte[] stored, int length) {
    this.stored = stored;
    this.length = length;
  }

  /**
   * Returns a payload around the bytes, which the caller must not change afterwards.
   *
   * @param bytes the bytes to hold
   */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public static Payload of(byte[] bytes) {
    return new Payload(bytes, bytes.length);
  }

  /** Returns an equal payload that takes less memory, if its bytes can be compressed. */
  Payload compressed() {
    if (stored.length < length) {
      return this;
    }
    Deflater deflater = new Deflater(Deflater.BEST_SPEED);
    try {
      deflater.setInput(stored);
      deflater.finish();
      byte[] compressed = new byte[length];
      int compressedLength = deflater.deflate(compressed);
      return deflater.finished() && compressedLength < length
          ? new Payload(Arrays.copyOf(compressed, compressedLength), length)
          : this;
    } finally {
      deflater.end();
    }
  }

  /** Returns the bytes, which the caller must not change. */
  @JsonValue
  public byte[] bytes() {
    return stored.length < length ? inflated() : stored;
  }

  private byte[] inflated() {
    Inflater inflater = new Inflater();
    try {
      inflater.setInput(stored);
      byte[] bytes = new byte[length];
      checkState(inflater.inflate(bytes) == length, "compressed payload is incomplete");
      return bytes;
    } catch (DataFormatException impossible) {
      throw new IllegalStateException("compressed payload cannot be read", impossible);
    } finally {
      inflater.end();
    }
  }

  /** Returns the number of bytes. */
  public int length() {
    return length;
  }

  /** Returns the number of bytes that the payload takes in memory. */
  int storedLength() {
    return stored.length;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Payload payload && Arrays.equals(bytes(), payload.bytes());
  }

  @Override
  public int hashCode() {
    return Arrays.hashCode(bytes());
  }

  @Override
  public String toString() {
    return "Payload[" + length + " bytes]";
  }
}
