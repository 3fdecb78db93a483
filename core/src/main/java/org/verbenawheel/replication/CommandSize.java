package org.verbenawheel.replication;

import java.util.function.ToIntFunction;

/**
 * The limits on the size of a command. A command that holds a list of independent elements is
 * committed in parts, since its list grows with the work at hand and a command over the limit is
 * refused each time.
 */
public final class CommandSize {
  /** The maximum length of an encoded command, in bytes. */
  public static final int MAXIMUM_BYTES = 1024 * 1024;

  /**
   * The length up to which elements share one part, in bytes. A part that is applied at once delays
   * callers, who wait for the same thread, only briefly.
   */
  private static final int PART_BYTES = 256 * 1024;

  /** The field names, numbers and headers of one small record, in bytes. */
  private static final int RECORD_OVERHEAD_BYTES = 64;

  /** A character takes at most this many bytes in UTF-8, a surrogate pair fewer than two do. */
  private static final int BYTES_PER_CHARACTER = 3;

  private CommandSize() {}

  /**
   * Returns an upper limit of the encoded length of a record with a few texts and numbers, in
   * bytes.
   */
  public static int ofRecord(String... texts) {
    int bytes = RECORD_OVERHEAD_BYTES;
    for (String text : texts) {
      bytes += BYTES_PER_CHARACTER * text.length();
    }
    return bytes;
  }

  /**
   * Returns how many of the first elements share one command; at least one unless there is none.
   *
   * @param elements the elements, in the order in which they are to be committed
   * @param encodedBytes returns an upper limit of an element's encoded length, in bytes
   */
  public static <T> int countInOnePart(Iterable<T> elements, ToIntFunction<T> encodedBytes) {
    int count = 0;
    long bytes = 0;
    for (T element : elements) {
      bytes += encodedBytes.applyAsInt(element);
      if (count > 0 && bytes > PART_BYTES) {
        return count;
      }
      count++;
    }
    return count;
  }
}
