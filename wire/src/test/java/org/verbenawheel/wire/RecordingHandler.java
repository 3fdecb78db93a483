package org.verbenawheel.wire;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.peer.PeerHandler;
import org.verbenawheel.peer.PeerMessage;

/**
 * Records messages and requests. Replies to questions with the same number, throws for negative
 * numbers, and leaves all questions open if {@code repliesToQuestions} is false.
 */
final class RecordingHandler implements PeerHandler {
  final List<PeerMessage> messages = new CopyOnWriteArrayList<>();
  final List<PeerMessage> requests = new CopyOnWriteArrayList<>();
  volatile boolean repliesToQuestions = true;

  @Override
  public void onMessage(ProcessId from, PeerMessage message) {
    messages.add(message);
  }

  @Override
  public Optional<CompletableFuture<PeerMessage>> onRequest(ProcessId from, PeerMessage message) {
    if (!(message instanceof TestMessages.Question question)) {
      return Optional.empty();
    }
    requests.add(question);
    if (question.number() < 0) {
      throw new IllegalArgumentException("negative");
    }
    return Optional.of(
        repliesToQuestions
            ? CompletableFuture.completedFuture(new TestMessages.Answer(question.number()))
            : new CompletableFuture<>());
  }
}
