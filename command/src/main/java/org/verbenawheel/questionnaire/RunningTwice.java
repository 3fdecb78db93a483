package org.verbenawheel.questionnaire;

/** The effect of running the same request twice. */
public enum RunningTwice {
  /** None: the request is idempotent. */
  HARMLESS,
  /** Damage: each request is claimed at the control replicas before it runs. */
  HARMFUL
}
