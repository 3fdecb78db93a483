package org.verbenawheel.replication;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.UUID;
import org.verbenawheel.identity.Names;

/**
 * Identifies one data folder of a replica. A process that loses its folder gets a new identity.
 *
 * @param value the name, as {@link Names#requireName} accepts it
 */
public record ReplicaId(@JsonValue String value) implements Comparable<ReplicaId> {

  /**
   * Checks the name.
   *
   * @throws IllegalArgumentException if the name is empty, too long or has a character that is not
   *     allowed
   */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public ReplicaId {
    Names.requireName("ReplicaId", value);
  }

  /** Returns a new random identity. */
  public static ReplicaId random() {
    return new ReplicaId(UUID.randomUUID().toString());
  }

  @Override
  public int compareTo(ReplicaId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
