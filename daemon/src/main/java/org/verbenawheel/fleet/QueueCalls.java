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
 * Sends callers' requests to the leader, and finds it. A request may be sent again because the
 * leader knows a job by the caller's id. Safe for use by many threads.
 */
final class QueueCalls {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Longer than a commit takes on a slow disk, short enough for several tries. */
  private static final Duration ATTEMPT_TIMEOUT = Duration.ofMillis(700);

  /** After so long without any answer this entry is cut off, or there is no leader. */
  private static final Duration OUT_OF_TOUCH = Duration.ofMillis(1_200);

  /** How long a caller is held while this entry is out of touch; another entry may do better. */
  private static final Duration OUT_OF_TOUCH_LIMIT = Duration.ofMillis(600);

  /** An election lasts about a second; asking more often finds nobody. */
  private static final Duration RETRY_PAUSE = Duration.ofMillis(60);

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

  /** Takes other seeds, which are asked besides the known control processes. */
  void reseed(ImmutableSet<ProcessId> newSeeds) {
    seeds = newSeeds;
    controls = ImmutableSet.<ProcessId>builder().addAll(controls).addAll(newSeeds).build();
  }

  /** Returns when a leader answered last. */
  Instant lastAnswerAt() {
    return lastAnswerAt;
  }

  /**
   * Sends a request until it is answered or the limit is over.
   *
   * @param limit how long the caller waits
   * @return the answer; {@link Outcome#NOT_DONE} or {@link Outcome#UNKNOWN} if there was none
   */
  CompletableFuture<QueueAnswer> send(QueueCall call, Duration limit) {
    Exchange exchange = new Exchange(call, clock.instant().plus(limit));
    exchange.attempt();
    return exchange.result;
  }

  private ProcessId nextControl() {
    return leader.orElseGet(
        () -> {
          List<ProcessId> all = new ArrayList<>(controls);
          return all.get(Math.floorMod(rotation.getAndIncrement(), all.size()));
        });
  }

  private void learn(QueueAnswer answer) {
    leader = answer.leader();
    if (!answer.controls().isEmpty()) {
      Set<ProcessId> known = new LinkedHashSet<>(answer.controls());
      known.addAll(seeds);
      controls = ImmutableSet.copyOf(known);
    }
  }

  /** One request and its attempts. */
  private final class Exchange {
    private final QueueCall call;
    private final Instant startedAt = clock.instant();
    private final Instant deadline;
    private final CompletableFuture<QueueAnswer> result = new CompletableFuture<>();
    private boolean mayHaveRun;

    Exchange(QueueCall call, Instant deadline) {
      this.call = call;
      this.deadline = deadline;
    }

    void attempt() {
      Instant now = clock.instant();
      Duration left = Duration.between(now, deadline);
      boolean outOfTouch =
          now.isAfter(lastAnswerAt.plus(OUT_OF_TOUCH))
              && now.isAfter(startedAt.plus(OUT_OF_TOUCH_LIMIT));
      if (left.toMillis() <= 0 || outOfTouch) {
        giveUp();
        return;
      }
      ProcessId target = nextControl();
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
      leader = leader.filter(known -> !known.equals(target));
      retry();
    }

    private void onAnswer(ProcessId target, QueueAnswer answer) {
      switch (answer.outcome()) {
        case NOT_LEADER -> {
          learn(answer);
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
      Executor later =
          CompletableFuture.delayedExecutor(RETRY_PAUSE.toMillis(), TimeUnit.MILLISECONDS);
      later.execute(this::attempt);
    }

    private void giveUp() {
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
