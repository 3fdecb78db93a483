package org.verbenawheel.routing;

import org.verbenawheel.request.CallerAnswer;
import org.verbenawheel.request.RunVerdict;

/** How one attempt at one endpoint ended. */
public sealed interface AttemptOutcome {
  /**
   * The endpoint gave its whole answer. Its status may still be an error of the service's own.
   *
   * @param answer the whole answer
   */
  record Answered(CallerAnswer answer) implements AttemptOutcome {}

  /**
   * The attempt ended without a whole answer.
   *
   * @param kind what happened
   * @param verdict whether the endpoint may have run the request
   * @param message what went wrong, for the log
   */
  record Failed(AttemptFailure kind, RunVerdict verdict, String message)
      implements AttemptOutcome {}
}
