package org.verbenawheel.identity;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies one job that placement puts on hosts.
 *
 * @param value the name, as {@link Names#requireName} accepts it
 */
public record JobId(@JsonValue String value) implements Comparable<JobId> {

  /**
   * Checks the name.
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
