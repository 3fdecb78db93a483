package org.verbenawheel.maintenance;

import com.google.common.collect.ImmutableList;
import org.verbenawheel.replication.ControlCommand;

/**
 * The next step of maintenance, as the {@link WavePlanner} decides it.
 *
 * @param outcome the kind of step in one or two words, for the decision journal
 * @param reason why, in one sentence
 * @param commands the commands to commit; empty if there is nothing to do
 */
public record WaveStep(String outcome, String reason, ImmutableList<ControlCommand> commands) {
  /** The outcome of a step that does nothing. */
  public static final String NOTHING = "nothing";

  static WaveStep nothing(String reason) {
    return new WaveStep(NOTHING, reason, ImmutableList.of());
  }

  static WaveStep of(String outcome, String reason, ControlCommand command) {
    return new WaveStep(outcome, reason, ImmutableList.of(command));
  }
}
