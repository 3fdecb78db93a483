package org.verbenawheel.identity;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names one process of the system, an entry or a control replica. The name is set in its settings.
 *
 * @param value a name that {@link Names#requireName} accepts
 */
public record ProcessId(@JsonValue String value) implements Comparable<ProcessId> {

  /**
   * Validates the name, also when it is decoded from JSON or MessagePack.
   *
   * @throws IllegalArgumentException if the name is empty, too long or has a character that is not
   *     allowed
   */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public ProcessId {
    Names.requireName("ProcessId", value);
  }

  @Override
  public int compareTo(ProcessId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
