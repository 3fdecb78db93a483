package org.verbenawheel.wave;

/** How far the maintenance of one host is. */
public enum UpkeepPhase {
  /** Nothing was ordered. */
  PENDING,
  /** The order may have been sent. */
  ORDERED,
  /** The host is down for its maintenance. */
  BEGUN,
  /** The host is back, or gone for good. */
  FINISHED;

  /** Returns whether the host counts as down for its maintenance. */
  public boolean isDown() {
    return this == ORDERED || this == BEGUN;
  }
}
