package org.verbenawheel.request;

/**
 * The response to a caller's request: an endpoint's complete answer, or a refusal by the system.
 */
public sealed interface CallerOutcome permits CallerAnswer, Refusal {
  /** Returns whether the request ran, as far as is known. */
  RunVerdict verdict();
}
