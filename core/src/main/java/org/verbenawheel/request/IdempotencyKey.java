package org.verbenawheel.request;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.time.Instant;
import java.util.UUID;
import java.util.regex.Pattern;

/**
 * A caller's key for one non-idempotent request: a UUID of version 7, whose first 48 bits are the
 * milliseconds at which the caller made it.
 *
 * <p>The time in the key lets the system forget keys older than its retention window and still
 * never run one twice: a key that old is refused as not run. See RFC 9562, section 5.7.
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
   * Checks the key.
   *
   * @throws IllegalArgumentException if the text is not a UUID of version 7; from a caller's text
   *     use {@link #parse}
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
   * @param text the text of the header
   * @throws MalformedKeyException if the text is not a UUID of version 7
   */
  public static IdempotencyKey parse(String text) throws MalformedKeyException {
    try {
      return new IdempotencyKey(text);
    } catch (IllegalArgumentException malformed) {
      throw new MalformedKeyException(
          HEADER
              + " must be a UUID of version 7 in lower case, which holds the time it was made"
              + " (RFC 9562); make a new one for each request and keep it for resends",
          malformed);
    }
  }

  /**
   * Makes a key.
   *
   * @param madeAt the time that goes into the key, to the millisecond
   * @param randomBits bits that no other key of the same millisecond shares
   */
  public static IdempotencyKey create(Instant madeAt, long randomBits) {
    long mostSignificant =
        (madeAt.toEpochMilli() << TIME_SHIFT_BITS) | 0x7000L | ((randomBits >>> 52) & 0x0fffL);
    long leastSignificant = 0x8000000000000000L | (randomBits & 0x3fffffffffffffffL);
    return new IdempotencyKey(new UUID(mostSignificant, leastSignificant).toString());
  }

  /** Returns the time that the key holds. */
  public Instant madeAt() {
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
