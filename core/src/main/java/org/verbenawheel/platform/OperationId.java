package org.verbenawheel.platform;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import org.verbenawheel.identity.Names;

/**
 * Identifies one operation at the platform, so that resending it is idempotent.
 *
 * @param value the name, as {@link Names#requireName} accepts it; chosen by whoever asks for the
 *     operation and never used again
 */
public record OperationId(@JsonValue String value) implements Comparable<OperationId> {

  /**
   * Checks the name.
   *
   * @throws IllegalArgumentException if the name is empty, too long or has a character that is not
   *     allowed
   */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public OperationId {
    Names.requireName("OperationId", value);
  }

  @Override
  public int compareTo(OperationId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
