package org.verbenawheel.identity;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names a region: a group of availability zones that keeps working if all other regions fail at
 * once.
 *
 * @param value a name that {@link Names#requireName} accepts
 */
public record Region(@JsonValue String value) implements Comparable<Region> {

  /**
   * Validates the name, also when it is decoded from JSON or MessagePack.
   *
   * @throws IllegalArgumentException if the name is empty, too long or has a character that is not
   *     allowed
   */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public Region {
    Names.requireName("Region", value);
  }

  @Override
  public int compareTo(Region other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
