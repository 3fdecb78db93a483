package org.verbenawheel.identity;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names a host: one machine, in one rack, one availability zone and one pool.
 *
 * @param value a name that {@link Names#requireName} accepts
 */
public record HostName(@JsonValue String value) implements Comparable<HostName> {

  /**
   * Validates the name, also when it is decoded from JSON or MessagePack.
   *
   * @throws IllegalArgumentException if the name is empty, too long or has a character that is not
   *     allowed
   */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public HostName {
    Names.requireName("HostName", value);
  }

  @Override
  public int compareTo(HostName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
