package org.verbenawheel.platform;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import org.verbenawheel.identity.Names;

/**
 * Identifies an operation of the platform, which makes resending it idempotent.
 *
 * @param value the name, as {@link Names#requireName} accepts it; chosen by the sender of the
 *     operation and never reused
 */
public record OperationId(@JsonValue String value) implements Comparable<OperationId> {

  /**
   * Validates the name.
   *
   * @throws IllegalArgumentException if the name is empty, too long or contains a character that is
   *     not allowed
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
