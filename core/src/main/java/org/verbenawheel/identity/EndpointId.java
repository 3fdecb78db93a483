package org.verbenawheel.identity;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names an endpoint: one runner of one service on one host.
 *
 * @param value the name, as {@link Names#requireName} accepts it
 */
public record EndpointId(@JsonValue String value) implements Comparable<EndpointId> {

  /**
   * Checks the name.
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
