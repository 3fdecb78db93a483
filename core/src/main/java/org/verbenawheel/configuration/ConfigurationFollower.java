package org.verbenawheel.configuration;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.verbenawheel.event.Event;
import org.verbenawheel.event.EventLine;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.peer.PeerLinks;
import org.verbenawheel.peer.PeerMessage;
import org.verbenawheel.supervision.FailureListener;
import org.verbenawheel.supervision.SupervisedPart;

/**
 * Keeps an entry's configuration current: sends a question to a control replica at a fixed interval
 * and renews the {@link ConfigurationLease} with the answers. Thread-safe.
 */
public final class ConfigurationFollower implements SupervisedPart, ConfigurationSource {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** How many consecutive question timeouts fit into a lease. */
  private static final int QUESTION_TIMEOUTS_PER_LEASE = 8;

  private final PeerLinks links;
  private final InstantSource clock;
  private final Duration interval;
  private final Duration answerTimeout;
  private final ConfigurationLease lease;
  private final ControlReplicaSelector replicaSelector;
  private boolean questionPending;
  private boolean wasFresh;
  private @Nullable ScheduledExecutorService timer;

  /**
   * Creates a follower without a configuration.
   *
   * @param controls the control replicas, at least one
   * @param links sends the questions to them
   * @param clock a clock that never goes back
   * @param interval the time between two questions
   * @param freshnessLimit how long a configuration may be used after the question that confirmed it
   *     was sent
   */
  public ConfigurationFollower(
      ImmutableList<ProcessId> controls,
      PeerLinks links,
      InstantSource clock,
      Duration interval,
      Duration freshnessLimit) {
    this.links = links;
    this.clock = clock;
    this.interval = interval;
    this.answerTimeout = freshnessLimit.dividedBy(QUESTION_TIMEOUTS_PER_LEASE);
    this.lease = new ConfigurationLease(freshnessLimit);
    this.replicaSelector = new ControlReplicaSelector(controls);
  }

  @Override
  public String name() {
    return "configuration-follower";
  }

  @Override
  public synchronized void start(FailureListener failures) {
    ScheduledExecutorService started =
        Executors.newSingleThreadScheduledExecutor(ConfigurationFollower::daemonThread);
    long nanoseconds = interval.toNanos();
    var unused = started.scheduleAtFixedRate(this::tick, 0, nanoseconds, TimeUnit.NANOSECONDS);
    questionPending = false;
    timer = started;
  }

  @Override
  public synchronized void stop(Duration grace) {
    if (timer != null) {
      timer.shutdownNow();
      timer = null;
    }
  }

  @Override
  public synchronized Optional<VersionedConfiguration> inForce(Instant now) {
    return lease.inForce(now);
  }

  /**
   * Returns the follower's state for a state dump.
   *
   * @param now the time for which the lease is checked
   */
  public synchronized Dump dump(Instant now) {
    return new Dump(
        lease.nextQuestion().version(), lease.inForce(now).isPresent(), replicaSelector.target());
  }

  /**
   * The follower's part of a state dump.
   *
   * @param version the version of the held configuration; 0 if there is none
   * @param inForce whether the lease allows its use
   * @param control the control replica that receives the next question
   */
  public record Dump(long version, boolean inForce, ProcessId control) {}

  private static Thread daemonThread(Runnable task) {
    Thread thread = new Thread(task, "configuration-follower");
    thread.setDaemon(true);
    return thread;
  }

  private void tick() {
    logIfLeaseExpired();
    sendQuestion();
  }

  /** Sends a question unless one is pending; each question ends with a reply or its timeout. */
  private void sendQuestion() {
    ProcessId control;
    ConfigurationQuestion question;
    Instant sentAt;
    synchronized (this) {
      if (questionPending) {
        return;
      }
      questionPending = true;
      control = replicaSelector.target();
      question = lease.nextQuestion();
      sentAt = clock.instant();
    }
    var unused =
        links
            .request(control, question, answerTimeout)
            .whenComplete((answer, failure) -> onReply(control, sentAt, answer));
  }

  private void onReply(ProcessId control, Instant sentAt, @Nullable PeerMessage reply) {
    ConfigurationLease.Effect effect = handleReply(control, sentAt, reply);
    if (effect == ConfigurationLease.Effect.NEWER_VERSION) {
      logger.atInfo().log(
          "%s",
          EventLine.of(Event.CONFIGURATION_IN_FORCE)
              .with("version", dump(sentAt).version())
              .with("control", control));
    }
  }

  private synchronized ConfigurationLease.Effect handleReply(
      ProcessId control, Instant sentAt, @Nullable PeerMessage reply) {
    questionPending = false;
    ConfigurationLease.Effect effect =
        reply instanceof ConfigurationAnswer answer
            ? lease.onAnswer(sentAt, answer)
            : ConfigurationLease.Effect.IGNORED;
    if (effect == ConfigurationLease.Effect.IGNORED) {
      replicaSelector.onFailure(control, leaderHint(reply));
    } else {
      replicaSelector.onConfirmed();
    }
    return effect;
  }

  private static Optional<ProcessId> leaderHint(@Nullable PeerMessage reply) {
    return reply instanceof ConfigurationAnswer.NotConfirmed notConfirmed
        ? notConfirmed.leader()
        : Optional.empty();
  }

  private synchronized void logIfLeaseExpired() {
    boolean isFresh = lease.inForce(clock.instant()).isPresent();
    if (wasFresh && !isFresh) {
      logger.atWarning().log(
          "%s",
          EventLine.of(Event.CONFIGURATION_STALE)
              .with("version", lease.nextQuestion().version())
              .with("control", replicaSelector.target()));
    }
    wasFresh = isFresh;
  }
}
