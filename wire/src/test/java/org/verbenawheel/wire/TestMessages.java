package org.verbenawheel.wire;

import java.util.List;
import org.verbenawheel.peer.MessageKinds;
import org.verbenawheel.peer.PeerMessage;

/** Messages that the tests of this package send. No handler handles {@link Unhandled}. */
final class TestMessages {
  static final MessageKinds KINDS =
      MessageKinds.builder()
          .add(90, Question.class)
          .add(91, Answer.class)
          .add(92, Note.class)
          .add(93, Unhandled.class)
          .build();

  private TestMessages() {}

  record Question(int number) implements PeerMessage {}

  record Answer(int number) implements PeerMessage {}

  record Note(String text, List<byte[]> parts) implements PeerMessage {
    static Note ofText(String text) {
      return new Note(text, List.of());
    }

    static Note ofLength(int bytes) {
      return new Note("", List.of(new byte[bytes]));
    }
  }

  record Unhandled() implements PeerMessage {}
}
