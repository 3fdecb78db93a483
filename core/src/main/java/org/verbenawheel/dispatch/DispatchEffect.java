package org.verbenawheel.dispatch;

import org.verbenawheel.decision.Decision;
import org.verbenawheel.dispatch.DispatchMessages.DispatchMessage;
import org.verbenawheel.identity.ProcessId;

/**
 * An action that the dispatch logic of an entry requests. {@link DispatchNode} carries the actions
 * out in order, after each task on its thread.
 */
public sealed interface DispatchEffect {
  /**
   * Sends a message to an entry.
   *
   * @param to the receiver, which may be the sending process itself
   * @param message the message
   */
  record Send(ProcessId to, DispatchMessage message) implements DispatchEffect {}

  /**
   * Adds a decision to the decision journal.
   *
   * @param decision the decision
   */
  record RecordDecision(Decision decision) implements DispatchEffect {}
}
