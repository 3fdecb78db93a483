package org.verbenawheel.identity;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies one job that placement assigns to hosts.
 *
 * @param value a name that {@link Names#requireName} accepts
 */
public record JobId(@JsonValue String value) implements Comparable<JobId> {

  /**
   * Validates the name, also when it is decoded from JSON or MessagePack.
   *
   * @throws IllegalArgumentException if the name is empty, too long or has a character that is not
   *     allowed
   */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public JobId {
    Names.requireName("JobId", value);
  }

  @Override
  public int compareTo(JobId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
