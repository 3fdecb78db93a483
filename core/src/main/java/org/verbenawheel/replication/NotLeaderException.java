package org.verbenawheel.replication;

import java.util.Optional;
import org.verbenawheel.identity.ProcessId;

/** Thrown when a read was asked of a replica that cannot prove that it leads. */
public final class NotLeaderException extends Exception {
  private static final long serialVersionUID = 1L;

  private final transient Optional<ProcessId> leader;

  /**
   * Makes the exception.
   *
   * @param leader the process that leads, if known
   */
  public NotLeaderException(Optional<ProcessId> leader) {
    super(
        leader
            .map(known -> "this replica does not lead; ask " + known)
            .orElse("no leader is known; try again, or see that most replicas are up"));
    this.leader = leader;
  }

  /** Returns the process that leads, if known. */
  public Optional<ProcessId> leader() {
    return leader;
  }
}
