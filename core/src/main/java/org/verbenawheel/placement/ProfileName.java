package org.verbenawheel.placement;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import org.verbenawheel.identity.Names;

/**
 * Names the program that a job runs. Jobs of one profile use about the same resources.
 *
 * @param value the name, as {@link Names#requireName} accepts it
 */
public record ProfileName(@JsonValue String value) implements Comparable<ProfileName> {

  /**
   * Validates the name.
   *
   * @throws IllegalArgumentException if the name is empty, too long or has a character that is not
   *     allowed
   */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public ProfileName {
    Names.requireName("ProfileName", value);
  }

  @Override
  public int compareTo(ProfileName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
