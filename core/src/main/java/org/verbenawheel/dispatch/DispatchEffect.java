package org.verbenawheel.dispatch;

import org.verbenawheel.decision.Decision;
import org.verbenawheel.dispatch.DispatchMessages.DispatchMessage;
import org.verbenawheel.identity.ProcessId;

/** What a dispatcher decided and its shell carries out, in order. */
public sealed interface DispatchEffect {
  /**
   * Sends a message.
   *
   * @param to the process, which may be this one
   * @param message the message
   */
  record Send(ProcessId to, DispatchMessage message) implements DispatchEffect {}

  /**
   * Keeps a decision in the journal.
   *
   * @param decision the decision
   */
  record Explain(Decision decision) implements DispatchEffect {}
}
