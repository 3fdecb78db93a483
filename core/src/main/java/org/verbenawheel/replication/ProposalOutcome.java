package org.verbenawheel.replication;

import com.google.common.collect.ImmutableList;
import java.util.Optional;

/**
 * What became of commands that a replica was asked to append.
 *
 * @param position where the first command stands; empty if the replica does not lead
 * @param effects what the replica wants done
 */
public record ProposalOutcome(Optional<Position> position, ImmutableList<Effect> effects) {
  /**
   * A place in the log. Whether the commands stay there is known only once the index is applied.
   *
   * @param index the index of the first command; the others follow
   * @param term the term in which they were appended
   */
  public record Position(long index, long term) {}
}
