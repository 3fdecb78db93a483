package org.verbenawheel.replication;

import com.google.common.collect.ImmutableSet;

/**
 * One part of the replicated state: it applies its own kinds of command in log order.
 *
 * <p>A part is deterministic: it reads no clock, no random numbers and nothing outside its
 * arguments and itself. It is called by one thread. The parts of one log together are the state of
 * one partition; a larger deployment runs one log for each region and group of pools.
 */
public interface StatePart {
  /** Returns the name under which snapshots and dumps hold this part. */
  String name();

  /** Returns the kinds of command that this part applies. */
  ImmutableSet<Class<? extends ControlCommand>> commandKinds();

  /**
   * Applies a committed command.
   *
   * @param command a command of one of the {@link #commandKinds}
   * @param context where and when it was committed
   * @return the reply for whoever sent the command
   */
  CommandReply apply(ControlCommand command, ApplyContext context);

  /** Returns the whole state of this part, encoded. */
  byte[] snapshot();

  /**
   * Replaces the state of this part.
   *
   * @param snapshot what {@link #snapshot} returned on some replica
   * @throws DamagedSnapshotException if the bytes cannot be read
   */
  void restore(byte[] snapshot) throws DamagedSnapshotException;

  /** Returns the state in a form that Jackson writes for a person; bounded in size. */
  Object dump();
}
