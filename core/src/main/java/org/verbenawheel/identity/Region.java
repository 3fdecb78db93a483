package org.verbenawheel.identity;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names a region: a group of availability zones that can lose every other region at once.
 *
 * @param value the name, as {@link Names#requireName} accepts it
 */
public record Region(@JsonValue String value) implements Comparable<Region> {

  /**
   * Checks the name.
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
