package org.verbenawheel.identity;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies one operator command, so that a resent command gets its first reply.
 *
 * @param value the name, as {@link Names#requireName} accepts it
 */
public record CommandId(@JsonValue String value) implements Comparable<CommandId> {

  /**
   * Checks the name.
   *
   * @throws IllegalArgumentException if the name is empty, too long or has a character that is not
   *     allowed
   */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public CommandId {
    Names.requireName("CommandId", value);
  }

  @Override
  public int compareTo(CommandId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
