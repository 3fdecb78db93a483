package org.verbenawheel.wave;

import com.google.common.collect.ImmutableList;
import org.verbenawheel.replication.CommandReply;
import org.verbenawheel.replication.ControlCommand;

/** The commands that change maintenance waves. */
public final class WaveCommands {
  private WaveCommands() {}

  /**
   * Stores a wave. A resend changes nothing.
   *
   * @param number the operators' number for the wave
   * @param hosts the hosts that need maintenance
   * @param deadlineMilliseconds how long from now the wave may take
   * @param maximumDown how many hosts may be down for it at once
   */
  public record StartWave(
      long number, ImmutableList<String> hosts, long deadlineMilliseconds, int maximumDown)
      implements ControlCommand {}

  /**
   * Notes how far the maintenance of a host is. A host never goes back to an earlier phase.
   *
   * @param number the wave
   * @param host the host
   * @param phase how far it is
   */
  public record RecordUpkeep(long number, String host, UpkeepPhase phase)
      implements ControlCommand {}

  /** Answers both. */
  public record WavesChanged() implements CommandReply {}
}
