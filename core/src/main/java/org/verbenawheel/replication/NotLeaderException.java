package org.verbenawheel.replication;

import java.util.Optional;
import org.verbenawheel.identity.ProcessId;

/**
 * Thrown for a read at a replica that does not lead, or cannot confirm with a quorum that it does.
 */
public final class NotLeaderException extends Exception {
  private static final long serialVersionUID = 1L;

  private final transient Optional<ProcessId> leader;

  /**
   * Creates the exception.
   *
   * @param leader the process that leads, if known
   */
  public NotLeaderException(Optional<ProcessId> leader) {
    super(
        leader
            .map(process -> "this replica does not lead; read from " + process)
            .orElse("no leader is known; try again, or check that most replicas are running"));
    this.leader = leader;
  }

  /** Returns the process that leads, if known. */
  public Optional<ProcessId> leader() {
    return leader;
  }
}
