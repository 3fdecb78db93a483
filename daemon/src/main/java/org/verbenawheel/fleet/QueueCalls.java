package org.verbenawheel.fleet;

import com.google.common.collect.ImmutableSet;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;
import org.verbenawheel.event.Event;
import org.verbenawheel.event.EventLine;
import org.verbenawheel.gateway.QueueAnswer;
import org.verbenawheel.gateway.QueueAnswer.Outcome;
import org.verbenawheel.gateway.QueueCall;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.peer.PeerLinks;
import org.verbenawheel.peer.PeerMessage;
import org.verbenawheel.peer.PeerUnreachableException;
import org.verbenawheel.request.RunVerdict;

/**
 * Finds the leader and sends it callers' requests. Requests are safe to resend because the leader
 * deduplicates jobs by the caller's id. Thread-safe.
 */
final class QueueCalls {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * A process that has answered nothing for this long is not expected to answer. Longer than a
   * commit takes on a slow disk, short enough for several attempts.
   */
  private static final Duration SILENCE_TIMEOUT = Duration.ofMillis(700);

  /** Without any answer for this long, the entry is partitioned or there is no leader. */
  private static final Duration UNREACHABLE_AFTER = Duration.ofMillis(1_200);

  /**
   * How long a request is retried while no leader answers; the caller may then succeed through
   * another entry.
   */
  private static final Duration UNREACHABLE_RETRY_LIMIT = Duration.ofMillis(600);

  /** An election lasts about a second, so more frequent attempts would find no leader. */
  private static final Duration RETRY_DELAY = Duration.ofMillis(60);

  private final PeerLinks links;
  private final InstantSource clock;
  private volatile ImmutableSet<ProcessId> seeds;
  private final AtomicInteger rotation = new AtomicInteger();
  private volatile Optional<ProcessId> leader = Optional.empty();
  private volatile ImmutableSet<ProcessId> controls;
  private volatile Optional<LeaderAnswer> lastAnswer = Optional.empty();

  QueueCalls(PeerLinks links, InstantSource clock, ImmutableSet<ProcessId> seeds) {
    this.links = links;
    this.clock = clock;
    this.seeds = seeds;
    this.controls = seeds;
  }

  /** Replaces the seeds and adds them to the known control processes. */
  void replaceSeeds(ImmutableSet<ProcessId> newSeeds) {
    seeds = newSeeds;
    controls = ImmutableSet.<ProcessId>builder().addAll(controls).addAll(newSeeds).build();
  }

  /** Returns when a leader answered last; {@link Instant#MIN} if none has. */
  Instant lastAnswerAt() {
    return lastAnswer.map(LeaderAnswer::at).orElse(Instant.MIN);
  }

  /**
   * Sends a request, retrying until a leader answers, the timeout passes or no leader seems
   * reachable.
   *
   * @param timeout how long the caller waits
   * @return the answer; without one, {@link Outcome#NOT_DONE} if no process can have carried the
   *     request out, else {@link Outcome#UNKNOWN}
   */
  CompletableFuture<QueueAnswer> send(QueueCall call, Duration timeout) {
    PendingCall pending = new PendingCall(call, clock.instant().plus(timeout));
    pending.attempt();
    return pending.result;
  }

  private ProcessId nextTarget() {
    return leader.orElseGet(
        () -> {
          List<ProcessId> all = new ArrayList<>(controls);
          return all.get(Math.floorMod(rotation.getAndIncrement(), all.size()));
        });
  }

  private void forgetLeader(ProcessId lost) {
    leader = leader.filter(known -> !known.equals(lost));
  }

  private void updateLeader(QueueAnswer answer) {
    leader = answer.leader();
    if (!answer.controls().isEmpty()) {
      Set<ProcessId> candidates = new LinkedHashSet<>(answer.controls());
      candidates.addAll(seeds);
      controls = ImmutableSet.copyOf(candidates);
    }
  }

  /** A request that is being sent and retried, until {@link #result} completes. */
  private final class PendingCall {
    private final QueueCall call;
    private final Instant startedAt = clock.instant();
    private final Instant deadline;
    private final CompletableFuture<QueueAnswer> result = new CompletableFuture<>();
    private volatile boolean mayHaveRun;
    private final AtomicInteger attempts = new AtomicInteger();

    PendingCall(QueueCall call, Instant deadline) {
      this.call = call;
      this.deadline = deadline;
    }

    void attempt() {
      if (result.isDone()) {
        return;
      }
      Instant now = clock.instant();
      Duration left = Duration.between(now, deadline);
      boolean leaderUnreachable =
          now.isAfter(lastAnswerAt().plus(UNREACHABLE_AFTER))
              && now.isAfter(startedAt.plus(UNREACHABLE_RETRY_LIMIT));
      if (left.toMillis() <= 0 || leaderUnreachable) {
        completeWithoutAnswer();
        return;
      }
      Attempt attempt = new Attempt(attempts.incrementAndGet(), nextTarget(), now);
      watch(attempt, SILENCE_TIMEOUT);
      var unused =
          links
              .request(attempt.target(), call, left)
              .whenComplete((reply, failure) -> onReply(attempt, reply, failure));
    }

    /** Checks the attempt's target for silence after a delay. */
    private void watch(Attempt attempt, Duration delay) {
      executeAfter(delay, () -> resendIfSilent(attempt));
    }

    /**
     * Sends the request to another process if the target seems lost. A target that answers other
     * requests is only slow: a second request would add to its load, and its answer still counts.
     */
    private void resendIfSilent(Attempt attempt) {
      if (!isLatest(attempt)) {
        return;
      }
      Duration remaining = Duration.between(clock.instant(), silentAt(attempt));
      if (remaining.toMillis() > 0) {
        watch(attempt, remaining);
        return;
      }
      mayHaveRun = true;
      forgetLeader(attempt.target());
      attempt();
    }

    private Instant silentAt(Attempt attempt) {
      Instant lastSign =
          lastAnswer
              .filter(answer -> answer.from().equals(attempt.target()))
              .map(LeaderAnswer::at)
              .filter(at -> at.isAfter(attempt.sentAt()))
              .orElse(attempt.sentAt());
      return lastSign.plus(SILENCE_TIMEOUT);
    }

    private void onReply(
        Attempt attempt, @Nullable PeerMessage reply, @Nullable Throwable failure) {
      if (reply instanceof QueueAnswer answer) {
        onAnswer(attempt, answer);
        return;
      }
      mayHaveRun |=
          !(failure instanceof PeerUnreachableException unreachable
              && unreachable.verdict() == RunVerdict.NOT_RUN);
      forgetLeader(attempt.target());
      retryAfter(attempt);
    }

    private void onAnswer(Attempt attempt, QueueAnswer answer) {
      switch (answer.outcome()) {
        case NOT_LEADER -> {
          updateLeader(answer);
          retryAfter(attempt);
        }
        case NOT_DONE -> retryAfter(attempt);
        case UNKNOWN -> {
          mayHaveRun = true;
          retryAfter(attempt);
        }
        default -> {
          leader = Optional.of(attempt.target());
          lastAnswer = Optional.of(new LeaderAnswer(attempt.target(), clock.instant()));
          result.complete(answer);
        }
      }
    }

    private boolean isLatest(Attempt attempt) {
      return attempt.number() == attempts.get();
    }

    /** Sends the request again, unless a later attempt is under way. */
    private void retryAfter(Attempt attempt) {
      if (isLatest(attempt)) {
        executeAfter(RETRY_DELAY, this::attempt);
      }
    }

    private void executeAfter(Duration delay, Runnable task) {
      Executor delayed = CompletableFuture.delayedExecutor(delay.toMillis(), TimeUnit.MILLISECONDS);
      delayed.execute(task);
    }

    private void completeWithoutAnswer() {
      Outcome outcome = mayHaveRun ? Outcome.UNKNOWN : Outcome.NOT_DONE;
      logger.atWarning().atMostEvery(20, TimeUnit.MILLISECONDS).log(
          "%s",
          EventLine.of(Event.QUEUE_CALL_REFUSED)
              .with("operation", call.operation())
              .with("host", call.host())
              .with("path", call.path())
              .with("outcome", outcome)
              .with("detail", "no leader answered in time"));
      result.complete(QueueAnswer.of(outcome, "no leader answered in time"));
    }
  }

  /**
   * One sending of a request.
   *
   * @param number counts the sendings of the request
   * @param target the process that it was sent to
   * @param sentAt when
   */
  private record Attempt(int number, ProcessId target, Instant sentAt) {}

  /**
   * The latest answer to any request that only a leader gives.
   *
   * @param from the leader
   * @param at when it arrived
   */
  private record LeaderAnswer(ProcessId from, Instant at) {}
}
