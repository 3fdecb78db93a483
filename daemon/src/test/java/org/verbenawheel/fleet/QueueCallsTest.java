package org.verbenawheel.fleet;

import static com.google.common.truth.Truth.assertThat;

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

/** Tests how an entry finds the leader, and that its refusals are true. */
final class QueueCallsTest {
  private static final ProcessId FIRST = new ProcessId("10.0.0.1:7");
  private static final ProcessId SECOND = new ProcessId("10.0.0.2:7");
  private static final QueueCall CALL =
      new QueueCall(Operation.SUBMIT, "h", "/q/1", Optional.empty());
  private static final Duration LIMIT = Duration.ofMillis(400);

  private final InstantSource clock = MonotonicInstantSource.startingNow();
  private final FakeLinks links = new FakeLinks();
  private final QueueCalls calls = new QueueCalls(links, clock, ImmutableSet.of(FIRST, SECOND));

  @Test
  void leaderThatAFollowerNamesIsAsked() {
    links.answer(QueueAnswer.notLeader(Optional.of(SECOND), ImmutableList.of()));
    links.answer(QueueAnswer.of(Outcome.ACCEPTED));

    assertThat(calls.send(CALL, LIMIT).join().outcome()).isEqualTo(Outcome.ACCEPTED);
    assertThat(links.asked).containsExactly(FIRST, SECOND).inOrder();
  }

  @Test
  void leaderIsRemembered() {
    links.answer(QueueAnswer.notLeader(Optional.of(SECOND), ImmutableList.of()));
    links.answer(QueueAnswer.of(Outcome.ACCEPTED));
    links.answer(QueueAnswer.of(Outcome.ACCEPTED));
    calls.send(CALL, LIMIT).join();

    calls.send(CALL, LIMIT).join();

    assertThat(links.asked).containsExactly(FIRST, SECOND, SECOND).inOrder();
  }

  @Test
  void refusalSaysNotDoneOnlyIfNoProcessMayHaveActed() {
    links.fail(RunVerdict.NOT_RUN);

    assertThat(calls.send(CALL, LIMIT).join().outcome()).isEqualTo(Outcome.NOT_DONE);
  }

  @Test
  void refusalSaysUnknownOnceAnAnswerIsMissing() {
    links.failOnce(RunVerdict.MAY_HAVE_RUN);
    links.fail(RunVerdict.NOT_RUN);

    assertThat(calls.send(CALL, LIMIT).join().outcome()).isEqualTo(Outcome.UNKNOWN);
  }

  @Test
  void callerIsNotHeldWhileNobodyAnswers() {
    links.fail(RunVerdict.NOT_RUN);
    long before = System.nanoTime();

    calls.send(CALL, Duration.ofMinutes(1)).join();

    assertThat(Duration.ofNanos(System.nanoTime() - before)).isLessThan(Duration.ofSeconds(10));
  }

  /** Answers in the order given, then fails as told. */
  private static final class FakeLinks implements PeerLinks {
    private final Deque<CompletableFuture<PeerMessage>> answers = new ArrayDeque<>();
    private final List<ProcessId> asked = new ArrayList<>();
    private RunVerdict verdict = RunVerdict.NOT_RUN;

    synchronized void answer(QueueAnswer answer) {
      answers.add(CompletableFuture.completedFuture(answer));
    }

    synchronized void failOnce(RunVerdict once) {
      answers.add(
          CompletableFuture.failedFuture(new PeerUnreachableException(FIRST, once, "as told")));
    }

    synchronized void fail(RunVerdict always) {
      verdict = always;
    }

    @Override
    public synchronized CompletableFuture<PeerMessage> request(
        ProcessId peer, PeerMessage message, Duration timeout) {
      asked.add(peer);
      return answers.isEmpty()
          ? CompletableFuture.failedFuture(new PeerUnreachableException(peer, verdict, "as told"))
          : answers.remove();
    }

    @Override
    public void send(ProcessId peer, PeerMessage message) {}
  }
}
