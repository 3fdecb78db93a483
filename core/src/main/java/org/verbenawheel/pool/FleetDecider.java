package org.verbenawheel.pool;

import com.google.common.collect.ImmutableList;
import java.time.Instant;
import org.verbenawheel.replication.ControlCommand;

/**
 * Decides which commands on pools and hosts to commit. Does no I/O.
 *
 * <p>{@link ActivityController} calls it in every round, also on a new leader, so it must not
 * repeat a command for something that the state shows to be in progress. Commands carry the host
 * version that they were decided on; one that was decided on an outdated version is refused and
 * changes nothing.
 */
public interface FleetDecider {
  /**
   * Returns the commands to commit now, in order.
   *
   * @param view the pools and hosts in the replicated state
   * @param now the current time
   */
  ImmutableList<ControlCommand> decide(PoolView view, Instant now);
}
