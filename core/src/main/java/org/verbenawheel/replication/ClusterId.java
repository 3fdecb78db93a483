package org.verbenawheel.replication;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.UUID;
import org.verbenawheel.identity.Names;

/**
 * Identifies one cluster of replicas, so that replicas of separately founded clusters never mix.
 *
 * @param value the name, as {@link Names#requireName} accepts it
 */
public record ClusterId(@JsonValue String value) implements Comparable<ClusterId> {

  /**
   * Checks the name.
   *
   * @throws IllegalArgumentException if the name is empty, too long or has a character that is not
   *     allowed
   */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public ClusterId {
    Names.requireName("ClusterId", value);
  }

  /** Returns a new random identity. */
  public static ClusterId random() {
    return new ClusterId(UUID.randomUUID().toString());
  }

  @Override
  public int compareTo(ClusterId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
