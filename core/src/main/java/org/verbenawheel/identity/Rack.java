package org.verbenawheel.identity;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names a rack: the hosts that share a switch and a power feed.
 *
 * @param value a name that {@link Names#requireName} accepts
 */
public record Rack(@JsonValue String value) implements Comparable<Rack> {

  /**
   * Validates the name, also when it is decoded from JSON or MessagePack.
   *
   * @throws IllegalArgumentException if the name is empty, too long or has a character that is not
   *     allowed
   */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public Rack {
    Names.requireName("Rack", value);
  }

  @Override
  public int compareTo(Rack other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
