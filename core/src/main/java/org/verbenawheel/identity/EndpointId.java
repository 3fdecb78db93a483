package org.verbenawheel.identity;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names an endpoint: one runner of one service on one host.
 *
 * @param value a name that {@link Names#requireName} accepts
 */
public record EndpointId(@JsonValue String value) implements Comparable<EndpointId> {

  /**
   * Validates the name, also when it is decoded from JSON or MessagePack.
   *
   * @throws IllegalArgumentException if the name is empty, too long or has a character that is not
   *     allowed
   */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public EndpointId {
    Names.requireName("EndpointId", value);
  }

  @Override
  public int compareTo(EndpointId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
