package org.verbenawheel.capacity;

import org.verbenawheel.peer.MessageKinds;

/** Gives the messages on capacity their numbers, 580 to 599. */
public final class CapacityMessages {
  /** The kinds of message of this package. */
  public static final MessageKinds KINDS =
      MessageKinds.builder().add(580, DemandReport.class).build();

  private CapacityMessages() {}
}
