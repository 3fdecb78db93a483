package org.verbenawheel.identity;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names an availability zone, for example {@code tamar}.
 *
 * @param value a name that {@link Names#requireName} accepts
 */
public record AvailabilityZone(@JsonValue String value) implements Comparable<AvailabilityZone> {

  /**
   * Validates the name, also when it is decoded from JSON or MessagePack.
   *
   * @throws IllegalArgumentException if the name is empty, too long or has a character that is not
   *     allowed
   */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public AvailabilityZone {
    Names.requireName("AvailabilityZone", value);
  }

  @Override
  public int compareTo(AvailabilityZone other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
