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
 * Keeps an entry's configuration confirmed: asks a control replica at a fixed interval and holds
 * the lease that its answers extend.
 */
public final class ConfigurationFollower implements SupervisedPart, ConfigurationSource {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int QUESTIONS_IN_A_LEASE = 8;

  private final PeerLinks links;
  private final InstantSource clock;
  private final Duration interval;
  private final Duration answerTimeout;
  private final ConfigurationLease lease;
  private final ControlChoice choice;
  private boolean waiting;
  private boolean wasFresh;
  private @Nullable ScheduledExecutorService timer;

  /**
   * Makes a follower that holds nothing.
   *
   * @param controls the control replicas, at least one
   * @param links reaches them
   * @param clock never goes back
   * @param interval the time between two questions
   * @param freshness how long a configuration may be used after its confirmation was asked for
   */
  public ConfigurationFollower(
      ImmutableList<ProcessId> controls,
      PeerLinks links,
      InstantSource clock,
      Duration interval,
      Duration freshness) {
    this.links = links;
    this.clock = clock;
    this.interval = interval;
    this.answerTimeout = freshness.dividedBy(QUESTIONS_IN_A_LEASE);
    this.lease = new ConfigurationLease(freshness);
    this.choice = new ControlChoice(controls);
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
    waiting = false;
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
   * Returns the state for a dump.
   *
   * @param now the present moment
   */
  public synchronized Dump dump(Instant now) {
    return new Dump(lease.question().version(), lease.inForce(now).isPresent(), choice.target());
  }

  /**
   * The state for a dump.
   *
   * @param version the version held
   * @param inForce whether it may be used
   * @param control the replica asked
   */
  public record Dump(long version, boolean inForce, ProcessId control) {}

  private static Thread daemonThread(Runnable task) {
    Thread thread = new Thread(task, "configuration-follower");
    thread.setDaemon(true);
    return thread;
  }

  private void tick() {
    noteFreshness();
    ask();
  }

  /** Sends a question unless one is under way; the links end each one by its timeout. */
  private void ask() {
    ProcessId asked;
    ConfigurationQuestion question;
    Instant sentAt;
    synchronized (this) {
      if (waiting) {
        return;
      }
      waiting = true;
      asked = choice.target();
      question = lease.question();
      sentAt = clock.instant();
    }
    var unused =
        links
            .request(asked, question, answerTimeout)
            .whenComplete((answer, failure) -> onReply(asked, sentAt, answer));
  }

  private void onReply(ProcessId asked, Instant sentAt, @Nullable PeerMessage reply) {
    ConfigurationLease.Effect effect = accept(asked, sentAt, reply);
    if (effect == ConfigurationLease.Effect.NEWER_VERSION) {
      logger.atInfo().log(
          "%s",
          EventLine.of(Event.CONFIGURATION_IN_FORCE)
              .with("version", dump(sentAt).version())
              .with("control", asked));
    }
  }

  private synchronized ConfigurationLease.Effect accept(
      ProcessId asked, Instant sentAt, @Nullable PeerMessage reply) {
    waiting = false;
    ConfigurationLease.Effect effect =
        reply instanceof ConfigurationAnswer answer
            ? lease.onAnswer(sentAt, answer)
            : ConfigurationLease.Effect.IGNORED;
    if (effect == ConfigurationLease.Effect.IGNORED) {
      choice.onFailure(asked, leaderHint(reply));
    } else {
      choice.onConfirmed();
    }
    return effect;
  }

  private static Optional<ProcessId> leaderHint(@Nullable PeerMessage reply) {
    return reply instanceof ConfigurationAnswer.NotConfirmed notConfirmed
        ? notConfirmed.leader()
        : Optional.empty();
  }

  private synchronized void noteFreshness() {
    boolean fresh = lease.inForce(clock.instant()).isPresent();
    if (wasFresh && !fresh) {
      logger.atWarning().log(
          "%s",
          EventLine.of(Event.CONFIGURATION_STALE)
              .with("version", lease.question().version())
              .with("control", choice.target()));
    }
    wasFresh = fresh;
  }
}
