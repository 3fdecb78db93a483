package org.verbenawheel.request;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.time.Instant;
import java.util.UUID;
import java.util.regex.Pattern;

/**
 * A caller's key for one non-idempotent request: a UUID of version 7. Its first 48 bits are the
 * Unix time in milliseconds at which the caller created it.
 *
 * <p>The creation time lets the system discard keys older than its retention window without running
 * a request twice: a key that old is refused and its request is not run. See RFC 9562, section 5.7.
 *
 * @param value the key in its canonical text form
 */
public record IdempotencyKey(@JsonValue String value) implements Comparable<IdempotencyKey> {
  /** The HTTP header that carries the key. */
  public static final String HEADER = "Idempotency-Key";

  private static final int VERSION_TIME_ORDERED = 7;
  private static final int TIME_SHIFT_BITS = 16;
  private static final Pattern CANONICAL_FORM =
      Pattern.compile("[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}");

  /**
   * Creates a key from its canonical text. For text from a caller, use {@link #parse}.
   *
   * @throws IllegalArgumentException if the text is not a UUID of version 7
   */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public IdempotencyKey {
    if (!CANONICAL_FORM.matcher(value).matches()
        || UUID.fromString(value).version() != VERSION_TIME_ORDERED) {
      throw new IllegalArgumentException("not a UUID of version 7");
    }
  }

  /**
   * Parses a caller's key.
   *
   * @param text the value of the {@link #HEADER} header
   * @throws MalformedKeyException if the text is not a UUID of version 7
   */
  public static IdempotencyKey parse(String text) throws MalformedKeyException {
    try {
      return new IdempotencyKey(text);
    } catch (IllegalArgumentException malformed) {
      throw new MalformedKeyException(
          HEADER
              + " must be a UUID of version 7 in lower case, which contains its creation time"
              + " (RFC 9562); create a new one for each request and use it again for retries",
          malformed);
    }
  }

  /**
   * Creates a key.
   *
   * @param createdAt the time stored in the key, with millisecond precision
   * @param randomBits must differ between keys of the same millisecond
   */
  public static IdempotencyKey create(Instant createdAt, long randomBits) {
    long mostSignificant =
        (createdAt.toEpochMilli() << TIME_SHIFT_BITS) | 0x7000L | ((randomBits >>> 52) & 0x0fffL);
    long leastSignificant = 0x8000000000000000L | (randomBits & 0x3fffffffffffffffL);
    return new IdempotencyKey(new UUID(mostSignificant, leastSignificant).toString());
  }

  /** Returns the creation time stored in the key, with millisecond precision. */
  public Instant createdAt() {
    return Instant.ofEpochMilli(
        UUID.fromString(value).getMostSignificantBits() >>> TIME_SHIFT_BITS);
  }

  @Override
  public int compareTo(IdempotencyKey other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
