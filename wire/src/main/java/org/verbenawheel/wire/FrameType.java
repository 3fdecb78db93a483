package org.verbenawheel.wire;

import java.util.Optional;

/** The purpose of a frame. The number of each constant is part of the protocol. */
enum FrameType {
  /** A message of the handshake that opens a connection. */
  HANDSHAKE(1),
  /** Heartbeat that requests a {@link #PONG} from the other end. */
  PING(2),
  /** Reply to a {@link #PING}. */
  PONG(3),
  /** A one-way message. */
  MESSAGE(4),
  /** A request, which gets a reply with the same correlation number. */
  REQUEST(5),
  /** The reply to a request. */
  REPLY(6),
  /** Reply to a request whose handler failed. */
  HANDLER_FAILED(7),
  /** Reply to a request of a kind that no handler handles; nothing was run. */
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
