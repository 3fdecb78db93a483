package org.verbenawheel.wire;

import java.util.Locale;
import org.verbenawheel.event.Event;

/**
 * The reason why a connection was closed.
 *
 * @param kind the category, which selects the event to log
 * @param detail what happened, for logs and errors
 */
record CloseReason(Kind kind, String detail) {

  /** Returns the event under which the end of the connection is logged. */
  Event event() {
    return kind.event;
  }

  @Override
  public String toString() {
    return kind.name().toLowerCase(Locale.ROOT) + ": " + detail;
  }

  /** Categories of reasons. */
  enum Kind {
    /** The operating system reported an error. */
    BROKEN(Event.PEER_DISCONNECTED),
    /** The other end closed the connection. */
    ENDED(Event.PEER_DISCONNECTED),
    /** The other end sent bytes that are not a valid message. */
    MALFORMED(Event.PEER_MESSAGE_MALFORMED),
    /** The connection was not opened, or its handshake not completed, within the open timeout. */
    NOT_OPENED(Event.PEER_DISCONNECTED),
    /** One end refused the handshake. */
    REFUSED(Event.PEER_REFUSED),
    /** No byte was received within the silence timeout. */
    SILENT(Event.PEER_DISCONNECTED),
    /** This process is stopping. */
    STOPPED(Event.PEER_DISCONNECTED);

    private final Event event;

    Kind(Event event) {
      this.event = event;
    }
  }
}
