package org.verbenawheel.replication;

import com.google.common.collect.ImmutableList;
import java.util.Optional;

/**
 * The result of proposing commands to a replica.
 *
 * @param position the position of the first command; empty if the replica does not lead
 * @param effects the effects that the caller must carry out
 */
public record ProposalOutcome(Optional<Position> position, ImmutableList<Effect> effects) {
  /**
   * A position in the log. Whether the commands are committed there is known only once the index is
   * applied.
   *
   * @param index the index of the first command; the others follow
   * @param term the term in which they were appended
   */
  public record Position(long index, long term) {}
}
