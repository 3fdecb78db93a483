package org.verbenawheel.replication;

import com.google.common.collect.ImmutableSet;

/**
 * One part of the replicated state. It applies its own kinds of command in log order.
 *
 * <p>A part must be deterministic: it reads no clock, no random numbers and nothing but its
 * arguments and its own state. It is called by one thread. All parts of one log form the state of
 * one partition; a larger deployment runs one log per region and group of pools.
 */
public interface StatePart {
  /** Returns the name of this part in snapshots and dumps. */
  String name();

  /** Returns the classes of command that this part applies. */
  ImmutableSet<Class<? extends ControlCommand>> commandKinds();

  /**
   * Applies a committed command.
   *
   * @param command a command of one of the {@link #commandKinds}
   * @param context its log index and state time
   * @return the reply for the sender of the command
   */
  CommandReply apply(ControlCommand command, ApplyContext context);

  /** Returns the whole state of this part, encoded. */
  byte[] snapshot();

  /**
   * Replaces the state of this part.
   *
   * @param snapshot the bytes that {@link #snapshot} returned on some replica
   * @throws DamagedSnapshotException if the bytes cannot be decoded
   */
  void restore(byte[] snapshot) throws DamagedSnapshotException;

  /** Returns the state for operators, as an object of bounded size that Jackson can write. */
  Object dump();
}
