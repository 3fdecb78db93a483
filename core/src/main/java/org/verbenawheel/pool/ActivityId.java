package org.verbenawheel.pool;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import org.verbenawheel.identity.Names;

/**
 * Identifies one activity of one host, so that resending any of its commands is idempotent.
 *
 * @param value the name, as {@link Names#requireName} accepts it; chosen by whoever starts the
 *     activity and never used again
 */
public record ActivityId(@JsonValue String value) implements Comparable<ActivityId> {

  /**
   * Checks the name.
   *
   * @throws IllegalArgumentException if the name is empty, too long or has a character that is not
   *     allowed
   */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public ActivityId {
    Names.requireName("ActivityId", value);
  }

  @Override
  public int compareTo(ActivityId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
