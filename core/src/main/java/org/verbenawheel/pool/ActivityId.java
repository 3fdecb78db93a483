package org.verbenawheel.pool;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import org.verbenawheel.identity.Names;

/**
 * Identifies one activity of one host, which makes resends of its commands idempotent.
 *
 * @param value a name that {@link Names#requireName} accepts, chosen by the sender that starts the
 *     activity and never reused
 */
public record ActivityId(@JsonValue String value) implements Comparable<ActivityId> {

  /**
   * Validates the name.
   *
   * @throws IllegalArgumentException if the name is empty, too long or contains a character that is
   *     not allowed
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
