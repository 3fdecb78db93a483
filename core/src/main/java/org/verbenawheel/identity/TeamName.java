package org.verbenawheel.identity;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names a team of users that has quotas.
 *
 * @param value a name that {@link Names#requireName} accepts
 */
public record TeamName(@JsonValue String value) implements Comparable<TeamName> {

  /**
   * Validates the name, also when it is decoded from JSON or MessagePack.
   *
   * @throws IllegalArgumentException if the name is empty, too long or has a character that is not
   *     allowed
   */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public TeamName {
    Names.requireName("TeamName", value);
  }

  @Override
  public int compareTo(TeamName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
