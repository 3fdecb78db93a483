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

  /** Longer than a commit takes on a slow disk, short enough for several attempts. */
  private static final Duration ATTEMPT_TIMEOUT = Duration.ofMillis(700);

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
  private volatile Instant lastAnswerAt = Instant.MIN;

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
    return lastAnswerAt;
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
    private boolean mayHaveRun;

    PendingCall(QueueCall call, Instant deadline) {
      this.call = call;
      this.deadline = deadline;
    }

    void attempt() {
      Instant now = clock.instant();
      Duration left = Duration.between(now, deadline);
      boolean leaderUnreachable =
          now.isAfter(lastAnswerAt.plus(UNREACHABLE_AFTER))
              && now.isAfter(startedAt.plus(UNREACHABLE_RETRY_LIMIT));
      if (left.toMillis() <= 0 || leaderUnreachable) {
        completeWithoutAnswer();
        return;
      }
      ProcessId target = nextTarget();
      Duration timeout = left.compareTo(ATTEMPT_TIMEOUT) < 0 ? left : ATTEMPT_TIMEOUT;
      var unused =
          links
              .request(target, call, timeout)
              .whenComplete((reply, failure) -> onReply(target, reply, failure));
    }

    private void onReply(
        ProcessId target, @Nullable PeerMessage reply, @Nullable Throwable failure) {
      if (reply instanceof QueueAnswer answer) {
        onAnswer(target, answer);
        return;
      }
      mayHaveRun |=
          !(failure instanceof PeerUnreachableException unreachable
              && unreachable.verdict() == RunVerdict.NOT_RUN);
      leader = leader.filter(current -> !current.equals(target));
      retry();
    }

    private void onAnswer(ProcessId target, QueueAnswer answer) {
      switch (answer.outcome()) {
        case NOT_LEADER -> {
          updateLeader(answer);
          retry();
        }
        case NOT_DONE -> retry();
        case UNKNOWN -> {
          mayHaveRun = true;
          retry();
        }
        default -> {
          leader = Optional.of(target);
          lastAnswerAt = clock.instant();
          result.complete(answer);
        }
      }
    }

    private void retry() {
      Executor delayed =
          CompletableFuture.delayedExecutor(RETRY_DELAY.toMillis(), TimeUnit.MILLISECONDS);
      delayed.execute(this::attempt);
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
}
