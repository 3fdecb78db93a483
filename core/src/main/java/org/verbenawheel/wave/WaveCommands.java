package org.verbenawheel.wave;

import com.google.common.collect.ImmutableList;
import org.verbenawheel.replication.CommandReply;
import org.verbenawheel.replication.ControlCommand;

/** The replicated commands that change maintenance waves, and their reply. */
public final class WaveCommands {
  private WaveCommands() {}

  /**
   * Stores a wave. Changes nothing if a wave with this number exists, so it can be resent.
   *
   * @param number the operators' number for the wave
   * @param hosts the hosts that need maintenance
   * @param deadlineMilliseconds how long the wave may take, from when this command is applied
   * @param maximumDown how many hosts may be down for the wave at the same time
   */
  public record StartWave(
      long number, ImmutableList<String> hosts, long deadlineMilliseconds, int maximumDown)
      implements ControlCommand {}

  /**
   * Records the state of a host's maintenance. It is ignored if the host is at this phase or a
   * later one already.
   *
   * @param number the operators' number for the wave
   * @param host the host's name
   * @param phase the state that the host has reached
   */
  public record RecordUpkeep(long number, String host, UpkeepPhase phase)
      implements ControlCommand {}

  /** Replies to both commands. */
  public record WavesChanged() implements CommandReply {}
}
