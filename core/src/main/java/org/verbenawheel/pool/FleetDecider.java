package org.verbenawheel.pool;

import com.google.common.collect.ImmutableList;
import java.time.Instant;
import org.verbenawheel.replication.ControlCommand;

/**
 * Decides what to begin, from the replicated state alone. Does no I/O.
 *
 * <p>It is asked again in every round, also by a new leader, so it must not ask anew for what the
 * state shows to be under way. Commands carry the version they were decided on: one that was
 * decided on an old state is refused and changes nothing.
 */
public interface FleetDecider {
  /**
   * Returns the commands to commit now.
   *
   * @param view the pools and hosts
   * @param now the present moment
   */
  ImmutableList<ControlCommand> decide(PoolView view, Instant now);
}
