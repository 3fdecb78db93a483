package org.verbenawheel.replication;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Arrays;

/** Encoded bytes inside a message or a log entry. Immutable by convention: the array is shared. */
public final class Payload {
  /** The payload without bytes. */
  public static final Payload EMPTY = new Payload(new byte[0]);

  private final byte[] bytes;

  private Payload(byte[] bytes) {
    this.bytes = bytes;
  }

  /**
   * Returns a payload around the bytes, which the caller must not change afterwards.
   *
   * @param bytes the bytes to hold
   */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public static Payload of(byte[] bytes) {
    return new Payload(bytes);
  }

  /** Returns the bytes, which the caller must not change. */
  @JsonValue
  public byte[] bytes() {
    return bytes;
  }

  /** Returns the number of bytes. */
  public int length() {
    return bytes.length;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Payload payload && Arrays.equals(bytes, payload.bytes);
  }

  @Override
  public int hashCode() {
    return Arrays.hashCode(bytes);
  }

  @Override
  public String toString() {
    return "Payload[" + bytes.length + " bytes]";
  }
}
