package org.verbenawheel.identity;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies one operator command. A command that is sent again under its ID gets the first reply.
 *
 * @param value a name that {@link Names#requireName} accepts
 */
public record CommandId(@JsonValue String value) implements Comparable<CommandId> {

  /**
   * Validates the name, also when it is decoded from JSON or MessagePack.
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
