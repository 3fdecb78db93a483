package org.verbenawheel.fleet;

import static com.google.common.truth.Truth.assertThat;
import static org.awaitility.Awaitility.await;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.verbenawheel.gateway.QueueAnswer;
import org.verbenawheel.gateway.QueueAnswer.Outcome;
import org.verbenawheel.gateway.QueueCall;
import org.verbenawheel.gateway.QueueCall.Operation;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.peer.PeerLinks;
import org.verbenawheel.peer.PeerMessage;
import org.verbenawheel.peer.PeerUnreachableException;
import org.verbenawheel.request.RunVerdict;
import org.verbenawheel.time.MonotonicInstantSource;

/**
 * Tests how an entry finds the leader, and that it reports {@code NOT_DONE} only when no process
 * can have carried the request out.
 */
final class QueueCallsTest {
  private static final ProcessId FIRST = new ProcessId("10.0.0.1:7");
  private static final ProcessId SECOND = new ProcessId("10.0.0.2:7");
  private static final QueueCall CALL =
      new QueueCall(Operation.SUBMIT, "h", "/q/1", Optional.empty());
  private static final QueueCall OTHER_CALL =
      new QueueCall(Operation.READ, "h", "/q/2", Optional.empty());
  private static final Duration TIMEOUT = Duration.ofMillis(400);

  private final InstantSource clock = MonotonicInstantSource.startingNow();
  private final FakeLinks links = new FakeLinks();
  private final QueueCalls calls = new QueueCalls(links, clock, ImmutableSet.of(FIRST, SECOND));

  @Test
  void requestIsSentToLeaderNamedByFollower() {
    links.addAnswer(QueueAnswer.notLeader(Optional.of(SECOND), ImmutableList.of()));
    links.addAnswer(QueueAnswer.of(Outcome.ACCEPTED));

    assertThat(calls.send(CALL, TIMEOUT).join().outcome()).isEqualTo(Outcome.ACCEPTED);
    assertThat(links.targets).containsExactly(FIRST, SECOND).inOrder();
  }

  @Test
  void laterRequestIsSentToKnownLeaderFirst() {
    links.addAnswer(QueueAnswer.notLeader(Optional.of(SECOND), ImmutableList.of()));
    links.addAnswer(QueueAnswer.of(Outcome.ACCEPTED));
    links.addAnswer(QueueAnswer.of(Outcome.ACCEPTED));
    calls.send(CALL, TIMEOUT).join();

    calls.send(CALL, TIMEOUT).join();

    assertThat(links.targets).containsExactly(FIRST, SECOND, SECOND).inOrder();
  }

  @Test
  void outcomeIsNotDoneIfNoAttemptMayHaveRun() {
    links.setDefaultVerdict(RunVerdict.NOT_RUN);

    assertThat(calls.send(CALL, TIMEOUT).join().outcome()).isEqualTo(Outcome.NOT_DONE);
  }

  @Test
  void outcomeIsUnknownIfAnyAttemptMayHaveRun() {
    links.addFailure(RunVerdict.MAY_HAVE_RUN);
    links.setDefaultVerdict(RunVerdict.NOT_RUN);

    assertThat(calls.send(CALL, TIMEOUT).join().outcome()).isEqualTo(Outcome.UNKNOWN);
  }

  @Test
  void requestFailsBeforeItsTimeoutWhileNoLeaderIsReachable() {
    links.setDefaultVerdict(RunVerdict.NOT_RUN);
    long before = System.nanoTime();

    calls.send(CALL, Duration.ofMinutes(1)).join();

    assertThat(Duration.ofNanos(System.nanoTime() - before)).isLessThan(Duration.ofSeconds(10));
  }

  // Resending what a slow leader still works on multiplied its load and kept it slow.
  @Test
  void requestIsNotSentAgainToALeaderThatAnswersOthers() throws Exception {
    CompletableFuture<PeerMessage> slow = links.addOpenAnswer();
    CompletableFuture<QueueAnswer> result = calls.send(CALL, Duration.ofSeconds(30));
    // QueueCalls measures silence on the real clock: FIRST answers another request each 200 ms.
    for (int other = 0; other < 10; other++) {
      links.addAnswer(QueueAnswer.notLeader(Optional.of(FIRST), ImmutableList.of()));
      links.addAnswer(QueueAnswer.of(Outcome.ACCEPTED));
      calls.send(OTHER_CALL, TIMEOUT).join();
      Thread.sleep(200);
    }

    assertThat(links.sent(CALL)).isEqualTo(1);
    slow.complete(QueueAnswer.of(Outcome.ACCEPTED));
    assertThat(result.join().outcome()).isEqualTo(Outcome.ACCEPTED);
  }

  @Test
  void requestIsSentToAnotherProcessWhenTheLeaderIsSilent() {
    links.addAnswer(QueueAnswer.of(Outcome.ACCEPTED));
    calls.send(OTHER_CALL, TIMEOUT).join();
    CompletableFuture<PeerMessage> unanswered = links.addOpenAnswer();
    links.addAnswer(QueueAnswer.of(Outcome.ACCEPTED));

    assertThat(calls.send(CALL, Duration.ofSeconds(10)).join().outcome())
        .isEqualTo(Outcome.ACCEPTED);
    assertThat(links.targets).containsExactly(FIRST, FIRST, SECOND).inOrder();
    assertThat(unanswered.isDone()).isFalse();
  }

  // A late answer ended the call while a resend was already scheduled.
  @Test
  void answeredRequestIsNotSentAgain() throws Exception {
    links.addAnswer(QueueAnswer.of(Outcome.ACCEPTED));
    calls.send(OTHER_CALL, TIMEOUT).join();
    CompletableFuture<PeerMessage> late = links.addOpenAnswer();
    links.addAnswer(QueueAnswer.notLeader(Optional.of(FIRST), ImmutableList.of()));
    CompletableFuture<QueueAnswer> result = calls.send(CALL, Duration.ofSeconds(10));
    await().pollInterval(Duration.ofMillis(2)).until(() -> links.sent(CALL) == 2);

    late.complete(QueueAnswer.of(Outcome.ACCEPTED));
    // A resend would leave 60 ms later.
    Thread.sleep(300);

    assertThat(result.join().outcome()).isEqualTo(Outcome.ACCEPTED);
    assertThat(links.sent(CALL)).isEqualTo(2);
  }

  /** Returns the queued answers in order, then fails every request with the default verdict. */
  private static final class FakeLinks implements PeerLinks {
    private final Deque<CompletableFuture<PeerMessage>> answers = new ArrayDeque<>();
    private final List<ProcessId> targets = new ArrayList<>();
    private final List<PeerMessage> messages = new ArrayList<>();
    private RunVerdict defaultVerdict = RunVerdict.NOT_RUN;

    synchronized void addAnswer(QueueAnswer answer) {
      answers.add(CompletableFuture.completedFuture(answer));
    }

    /** Adds an answer that the test completes. */
    synchronized CompletableFuture<PeerMessage> addOpenAnswer() {
      CompletableFuture<PeerMessage> open = new CompletableFuture<>();
      answers.add(open);
      return open;
    }

    /** Returns how often a message was sent. */
    synchronized long sent(PeerMessage message) {
      return messages.stream().filter(message::equals).count();
    }

    synchronized void addFailure(RunVerdict verdict) {
      answers.add(
          CompletableFuture.failedFuture(
              new PeerUnreachableException(FIRST, verdict, "test failure")));
    }

    synchronized void setDefaultVerdict(RunVerdict newVerdict) {
      defaultVerdict = newVerdict;
    }

    @Override
    public synchronized CompletableFuture<PeerMessage> request(
        ProcessId peer, PeerMessage message, Duration timeout) {
      targets.add(peer);
      messages.add(message);
      return answers.isEmpty()
          ? CompletableFuture.failedFuture(
              new PeerUnreachableException(peer, defaultVerdict, "test failure"))
          : answers.remove().copy().orTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
    }

    @Override
    public void send(ProcessId peer, PeerMessage message) {}
  }
}
