package org.verbenawheel.request;

/** What a caller gets for its request: the endpoint's whole answer, or a refusal with a verdict. */
public sealed interface CallerOutcome permits CallerAnswer, Refusal {
  /** Returns what is known about whether the request ran. */
  RunVerdict verdict();
}
