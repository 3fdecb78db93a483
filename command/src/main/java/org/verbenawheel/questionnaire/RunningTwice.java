package org.verbenawheel.questionnaire;

/** Says what running the same request twice would do. */
public enum RunningTwice {
  /** Nothing bad: the request is idempotent. */
  HARMLESS,
  /** Damage: each request is claimed at the control replicas before it runs. */
  HARMFUL
}
