package org.verbenawheel.capacity;

import org.verbenawheel.peer.MessageKinds;

/** Assigns wire numbers 580 to 599 to the capacity messages. */
public final class CapacityMessages {
  /** The messages of this package by number. */
  public static final MessageKinds KINDS =
      MessageKinds.builder().add(580, DemandReport.class).build();

  private CapacityMessages() {}
}
