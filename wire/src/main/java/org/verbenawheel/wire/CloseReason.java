package org.verbenawheel.wire;

import java.util.Locale;
import org.verbenawheel.event.Event;

/**
 * Says why a connection ended.
 *
 * @param kind the sort of end
 * @param detail what was seen
 */
record CloseReason(Kind kind, String detail) {

  /** Returns the event to log. */
  Event event() {
    return kind.event;
  }

  @Override
  public String toString() {
    return kind.name().toLowerCase(Locale.ROOT) + ": " + detail;
  }

  /** The sorts of end. */
  enum Kind {
    /** The operating system reported an error. */
    BROKEN(Event.PEER_DISCONNECTED),
    /** The other end closed the connection. */
    ENDED(Event.PEER_DISCONNECTED),
    /** The other end sent bytes that are not a message. */
    MALFORMED(Event.PEER_MESSAGE_MALFORMED),
    /** The connection or its handshake did not come about in time. */
    NOT_OPENED(Event.PEER_DISCONNECTED),
    /** One end refused the other. */
    REFUSED(Event.PEER_REFUSED),
    /** No byte came for the silence timeout. */
    SILENT(Event.PEER_DISCONNECTED),
    /** This process stops. */
    STOPPED(Event.PEER_DISCONNECTED);

    private final Event event;

    Kind(Event event) {
      this.event = event;
    }
  }
}
