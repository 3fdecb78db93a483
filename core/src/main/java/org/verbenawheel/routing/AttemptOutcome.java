package org.verbenawheel.routing;

import org.verbenawheel.request.CallerAnswer;
import org.verbenawheel.request.RunVerdict;

/** How one attempt at one endpoint ended. */
public sealed interface AttemptOutcome {
  /**
   * The endpoint sent a complete answer. Its status may still be an error of the service itself.
   *
   * @param answer the complete answer
   */
  record Answered(CallerAnswer answer) implements AttemptOutcome {}

  /**
   * The attempt ended without a complete answer.
   *
   * @param kind the kind of failure
   * @param verdict whether the endpoint may have run the request
   * @param message the cause, for the log and the refusal
   */
  record Failed(AttemptFailure kind, RunVerdict verdict, String message)
      implements AttemptOutcome {}
}
