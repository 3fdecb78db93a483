package org.verbenawheel.wave;

/** The states of one host's maintenance in a wave, in the order in which they follow each other. */
public enum UpkeepPhase {
  /** The host has not been ordered down. */
  PENDING,
  /** The order to take the host down may have been sent: this state is committed before it is. */
  ORDERED,
  /** The host is down for its maintenance. */
  BEGUN,
  /** The host is back, or removed for good. */
  FINISHED;

  /** Returns whether the host counts towards the wave's limit of hosts that are down. */
  public boolean isDown() {
    return this == ORDERED || this == BEGUN;
  }
}
