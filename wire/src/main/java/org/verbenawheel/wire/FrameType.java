package org.verbenawheel.wire;

import java.util.Optional;

/** Says what a frame is for. The number of each constant is part of the protocol. */
enum FrameType {
  /** A message of the opening handshake. */
  HANDSHAKE(1),
  /** Asks the other end for a {@link #PONG}. */
  PING(2),
  /** Answers a {@link #PING}. */
  PONG(3),
  /** A message that has no reply. */
  MESSAGE(4),
  /** A message that expects a reply with the same correlation number. */
  REQUEST(5),
  /** The reply to a request. */
  REPLY(6),
  /** The request reached a handler that failed. */
  HANDLER_FAILED(7),
  /** No handler takes requests of this kind, so nothing ran. */
  NOT_HANDLED(8);

  private final byte number;

  FrameType(int number) {
    this.number = (byte) number;
  }

  byte number() {
    return number;
  }

  static Optional<FrameType> ofNumber(byte number) {
    for (FrameType type : values()) {
      if (type.number == number) {
        return Optional.of(type);
      }
    }
    return Optional.empty();
  }
}
