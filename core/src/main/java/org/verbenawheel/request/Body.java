package org.verbenawheel.request;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** The bytes of a request or an answer. Immutable; {@link #toString} never shows the bytes. */
public final class Body {
  /** The empty body. */
  public static final Body EMPTY = new Body(new byte[0]);

  private final byte[] bytes;

  private Body(byte[] bytes) {
    this.bytes = bytes;
  }

  /** Returns a body with a copy of the bytes. */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public static Body copyOf(byte[] bytes) {
    return bytes.length == 0 ? EMPTY : new Body(bytes.clone());
  }

  /** Returns a body with the text encoded as UTF-8. */
  public static Body ofText(String text) {
    return copyOf(text.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns a copy of the bytes. */
  @JsonValue
  public byte[] toByteArray() {
    return bytes.clone();
  }

  /** Returns the number of bytes. */
  public int length() {
    return bytes.length;
  }

  /** Returns the bytes decoded as UTF-8. */
  public String toText() {
    return new String(bytes, StandardCharsets.UTF_8);
  }

  /** Returns the SHA-256 of the bytes in hexadecimal. */
  public String sha256() {
    return Hashing.sha256().hashBytes(bytes).toString();
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Body body && Arrays.equals(bytes, body.bytes);
  }

  @Override
  public int hashCode() {
    return Arrays.hashCode(bytes);
  }

  @Override
  public String toString() {
    return "Body[" + bytes.length + " bytes]";
  }
}
