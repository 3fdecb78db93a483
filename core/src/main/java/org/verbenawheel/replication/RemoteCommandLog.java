package org.verbenawheel.replication;

import static com.google.common.base.Preconditions.checkState;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Collection;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.verbenawheel.codec.MalformedMessageException;
import org.verbenawheel.codec.MessageCodec;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.peer.PeerLinks;
import org.verbenawheel.peer.PeerMessage;
import org.verbenawheel.peer.PeerUnreachableException;
import org.verbenawheel.replication.SubmitMessage.CommandAccepted;
import org.verbenawheel.replication.SubmitMessage.CommandRefused;
import org.verbenawheel.replication.SubmitMessage.SubmitCommand;
import org.verbenawheel.request.RunVerdict;

/**
 * Commits commands from a process that need not be a replica: finds the leader, and resends each
 * command until it has a reply or its deadline passes. Thread-safe.
 *
 * <p>Resending is safe, because a command either has an identity by which the replicas recognize a
 * resend, or is idempotent by its contents.
 */
public final class RemoteCommandLog implements CommandLog {
  private final ImmutableList<ProcessId> replicas;
  private final PeerLinks links;
  private final MessageCodec codec;
  private final InstantSource clock;
  private final Duration timeout;
  private final Duration attemptTimeout;
  private final Duration retryPause;
  private volatile ProcessId probableLeader;

  private RemoteCommandLog(Builder builder) {
    this.replicas = builder.replicas;
    this.links = builder.required(builder.links, "links");
    this.codec = builder.required(builder.codec, "codec");
    this.clock = builder.required(builder.clock, "clock");
    this.timeout = builder.timeout;
    this.attemptTimeout = builder.attemptTimeout;
    this.retryPause = builder.retryPause;
    checkState(!replicas.isEmpty(), "replicas not set");
    this.probableLeader = replicas.get(0);
  }

  /** Returns a builder. */
  public static Builder builder() {
    return new Builder();
  }

  @Override
  public CompletableFuture<CommandReply> submit(CommandEnvelope envelope) {
    SubmitCommand message =
        new SubmitCommand(envelope.commandId(), Payload.of(codec.encode(envelope.command())));
    Submission submission = new Submission(message, clock.instant().plus(timeout));
    submission.sendTo(probableLeader);
    return submission.reply;
  }

  private ProcessId replicaAfter(ProcessId replica) {
    int next = replicas.indexOf(replica) + 1;
    return replicas.get(next % replicas.size());
  }

  /** One submitted command over all its attempts. */
  private final class Submission {
    private final SubmitCommand message;
    private final Instant deadline;
    private final CompletableFuture<CommandReply> reply = new CompletableFuture<>();
    private RunVerdict verdict = RunVerdict.NOT_RUN;

    private Submission(SubmitCommand message, Instant deadline) {
      this.message = message;
      this.deadline = deadline;
    }

    private void sendTo(ProcessId replica) {
      Duration left = Duration.between(clock.instant(), deadline);
      Duration wait = left.compareTo(attemptTimeout) < 0 ? left : attemptTimeout;
      CompletableFuture<PeerMessage> unused =
          links
              .request(replica, message, wait)
              .whenComplete((response, failure) -> onResponse(replica, response, failure));
    }

    private void onResponse(
        ProcessId replica, @Nullable PeerMessage response, @Nullable Throwable failure) {
      if (response instanceof CommandAccepted accepted) {
        probableLeader = replica;
        complete(accepted);
      } else if (response instanceof CommandRefused refused) {
        verdict = verdict.combine(refused.verdict());
        retry(replica, refused.leader(), refused.message());
      } else {
        verdict = verdict.combine(verdictOf(failure));
        retry(replica, Optional.empty(), String.valueOf(failure));
      }
    }

    private void complete(CommandAccepted accepted) {
      try {
        reply.complete((CommandReply) codec.decode(accepted.reply().bytes()));
      } catch (MalformedMessageException malformed) {
        fail(
            RunVerdict.RAN,
            "the command was committed, but its reply cannot be decoded: "
                + malformed.getMessage());
      }
    }

    private void retry(ProcessId replica, Optional<ProcessId> leader, String cause) {
      if (!clock.instant().plus(retryPause).isBefore(deadline)) {
        fail(verdict, "no reply before the deadline; the last attempt failed: " + cause);
        return;
      }
      Optional<ProcessId> hinted = leader.filter(process -> replicas.contains(process));
      ProcessId next = hinted.orElseGet(() -> replicaAfter(replica));
      if (probableLeader.equals(replica)) {
        probableLeader = next;
      }
      Executor later =
          CompletableFuture.delayedExecutor(retryPause.toMillis(), TimeUnit.MILLISECONDS);
      later.execute(() -> sendTo(next));
    }

    private void fail(RunVerdict finalVerdict, String text) {
      reply.completeExceptionally(new CommandNotCommittedException(finalVerdict, text));
    }
  }

  private static RunVerdict verdictOf(@Nullable Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return cause instanceof PeerUnreachableException unreachable
        ? unreachable.verdict()
        : RunVerdict.MAY_HAVE_RUN;
  }

  /** Builds a command log. */
  public static final class Builder {
    private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration DEFAULT_ATTEMPT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration DEFAULT_RETRY_PAUSE = Duration.ofMillis(20);

    private ImmutableList<ProcessId> replicas = ImmutableList.of();
    private Duration timeout = DEFAULT_TIMEOUT;
    private Duration attemptTimeout = DEFAULT_ATTEMPT_TIMEOUT;
    private Duration retryPause = DEFAULT_RETRY_PAUSE;
    private @Nullable PeerLinks links;
    private @Nullable MessageCodec codec;
    private @Nullable InstantSource clock;

    private Builder() {}

    /** Sets the processes that run replicas. */
    public Builder replicas(Collection<ProcessId> value) {
      replicas = ImmutableList.copyOf(value);
      return this;
    }

    /** Sets the links to the replicas. */
    public Builder links(PeerLinks value) {
      links = value;
      return this;
    }

    /** Sets the codec, which must know the commands and replies of all parts. */
    public Builder codec(MessageCodec value) {
      codec = value;
      return this;
    }

    /** Sets the clock for deadlines; its instants must never decrease. */
    public Builder clock(InstantSource value) {
      clock = value;
      return this;
    }

    /** Sets the deadline of a command over all attempts. */
    public Builder timeout(Duration value) {
      timeout = value;
      return this;
    }

    /** Sets the timeout of one attempt at one replica. */
    public Builder attemptTimeout(Duration value) {
      attemptTimeout = value;
      return this;
    }

    /** Sets the pause before a resend. */
    public Builder retryPause(Duration value) {
      retryPause = value;
      return this;
    }

    /**
     * Builds the command log.
     *
     * @throws IllegalStateException if the replicas, the links, the codec or the clock are not set
     */
    public RemoteCommandLog build() {
      return new RemoteCommandLog(this);
    }

    private <T> T required(@Nullable T value, String name) {
      checkState(value != null, "%s not set", name);
      return value;
    }
  }
}
