package org.verbenawheel.identity;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies one caller's request in every process and log line it passes through.
 *
 * @param value the name, as {@link Names#requireName} accepts it
 */
public record RequestId(@JsonValue String value) implements Comparable<RequestId> {

  /**
   * Checks the name.
   *
   * @throws IllegalArgumentException if the name is empty, too long or has a character that is not
   *     allowed
   */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public RequestId {
    Names.requireName("RequestId", value);
  }

  @Override
  public int compareTo(RequestId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
