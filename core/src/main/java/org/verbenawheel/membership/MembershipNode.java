package org.verbenawheel.membership;

import com.google.common.collect.ImmutableSet;
import com.google.common.flogger.FluentLogger;
import com.google.common.util.concurrent.ThreadFactoryBuilder;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.verbenawheel.event.EventLine;
import org.verbenawheel.identity.EndpointId;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.membership.MembershipMessages.OneWayMessage;
import org.verbenawheel.peer.PeerHandler;
import org.verbenawheel.peer.PeerMessage;
import org.verbenawheel.supervision.FailureListener;
import org.verbenawheel.supervision.PartFailedException;
import org.verbenawheel.supervision.SupervisedPart;

/**
 * Runs the membership of one entry: answers the announcements of endpoints, exchanges changes and
 * heartbeats with the other entries, and publishes a {@link MembershipView} of the live endpoints
 * and entries to listeners. Thread-safe.
 */
public final class MembershipNode implements SupervisedPart, PeerHandler, MembershipSource {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long STOP_POLL_MILLISECONDS = 20;

  private final MembershipSettings settings;
  private final List<Consumer<MembershipView>> listeners = new CopyOnWriteArrayList<>();
  private final Object lock = new Object();
  // Guarded by lock. The clock is read under the lock too, so that no event is dated earlier than
  // it
  // was processed.
  private EndpointMembership membership;
  private Optional<ScheduledExecutorService> executor = Optional.empty();
  private boolean publishScheduled;
  // Only used on the membership thread.
  private long publishedVersion;

  MembershipNode(MembershipSettings settings) {
    this.settings = settings;
    this.membership = newMembership();
  }

  /** Returns a builder; {@code self}, {@code entries} and {@code links} must be set. */
  public static MembershipNodeBuilder builder() {
    return new MembershipNodeBuilder();
  }

  @Override
  public String name() {
    return "membership";
  }

  @Override
  public void start(FailureListener failures) {
    ScheduledExecutorService started =
        Executors.newSingleThreadScheduledExecutor(
            new ThreadFactoryBuilder().setNameFormat("membership").setDaemon(true).build());
    synchronized (lock) {
      membership = newMembership();
      publishScheduled = false;
      executor = Optional.of(started);
    }
    if (settings.queriesPeersOnStart()) {
      run((core, now) -> core.queryPeers(now));
    }
    long tickMilliseconds = settings.timings().tickInterval().toMillis();
    var unused =
        started.scheduleWithFixedDelay(
            () -> tickReportingFailure(failures), 0, tickMilliseconds, TimeUnit.MILLISECONDS);
  }

  /**
   * Answers an endpoint's announcement, or forwards it to the entry that holds the endpoint's
   * lease. If that entry does not reply within {@link MembershipTimings#forwardTimeout}, this entry
   * answers.
   *
   * @return the reply to the endpoint; never fails
   */
  public CompletableFuture<AnnounceReply> announceLater(EndpointAnnouncement announcement) {
    AnnounceDecision decision = call((core, now) -> core.announce(announcement, now));
    if (decision instanceof AnnounceDecision.Answer answer) {
      return CompletableFuture.completedFuture(answer.reply());
    }
    AnnounceDecision.Forward forward = (AnnounceDecision.Forward) decision;
    return settings
        .links()
        .request(forward.home(), announcement, settings.timings().forwardTimeout())
        .handle(
            (reply, failure) ->
                reply instanceof AnnounceReply answered
                    ? answered
                    : call((core, now) -> core.announceLocally(announcement, now)));
  }

  /**
   * Does the same as {@link #announceLater}, but blocks for up to {@link
   * MembershipTimings#forwardTimeout} if another entry holds the lease.
   */
  public AnnounceReply announce(EndpointAnnouncement announcement) {
    return announceLater(announcement).join();
  }

  /**
   * Removes an endpoint that leaves. This entry sends it no new work from now on. The other entries
   * stop within milliseconds, or at most {@link MembershipTimings#worstCaseLeave} later if they
   * cannot be notified.
   *
   * @param incarnation the incarnation that leaves; earlier ones leave with it
   */
  public void leave(EndpointId endpoint, long incarnation) {
    run((core, now) -> core.leave(endpoint, incarnation, now));
  }

  /**
   * Begins to stop this entry: notifies the other entries and redirects each endpoint to one of
   * them at its next renewal. The endpoints stay in this entry's view meanwhile, so requests in
   * flight can finish.
   */
  public void beginDrain() {
    run((core, now) -> core.beginStop());
  }

  @Override
  public void stop(Duration grace) {
    Optional<ScheduledExecutorService> stopping;
    synchronized (lock) {
      stopping = executor;
      executor = Optional.empty();
    }
    if (stopping.isEmpty()) {
      return;
    }
    beginDrain();
    awaitEmpty(grace);
    stopping.get().shutdownNow();
  }

  @Override
  public void onMessage(ProcessId from, PeerMessage message) {
    if (settings.others().contains(from) && message instanceof OneWayMessage oneWay) {
      run((core, now) -> core.onMessage(from, oneWay, now));
    }
  }

  @Override
  public Optional<CompletableFuture<PeerMessage>> onRequest(ProcessId from, PeerMessage message) {
    if (!(message instanceof EndpointAnnouncement announcement)) {
      return Optional.empty();
    }
    AnnounceReply reply = call((core, now) -> core.announceLocally(announcement, now));
    return Optional.of(CompletableFuture.completedFuture(reply));
  }

  @Override
  public MembershipView view() {
    synchronized (lock) {
      return membership.view(settings.clock().instant());
    }
  }

  @Override
  public void addListener(Consumer<MembershipView> listener) {
    listeners.add(listener);
  }

  /** Returns the state for the diagnostic dump. */
  public MembershipDump dump() {
    return call((core, now) -> core.dump(now));
  }

  private EndpointMembership newMembership() {
    return new EndpointMembership(
        settings.newIdentity(), settings.timings(), settings.clock().instant());
  }

  private void tickReportingFailure(FailureListener failures) {
    try {
      run((core, now) -> core.tick(now));
      publish();
    } catch (RuntimeException fault) {
      failures.onFailure(new PartFailedException("the membership thread failed", fault));
    }
  }

  /** Passes a newer view to the listeners. Runs only on the membership thread. */
  private void publish() {
    MembershipView view;
    synchronized (lock) {
      publishScheduled = false;
      view = membership.view(settings.clock().instant());
    }
    if (view.version() == publishedVersion) {
      return;
    }
    publishedVersion = view.version();
    listeners.forEach(listener -> listener.accept(view));
  }

  private void run(Action action) {
    boolean unused =
        call(
            (core, now) -> {
              action.apply(core, now);
              return true;
            });
  }

  private <T> T call(ResultAction<T> action) {
    synchronized (lock) {
      T result = action.apply(membership, settings.clock().instant());
      perform(membership.takeEffects());
      schedulePublish();
      return result;
    }
  }

  private void perform(MembershipEffects effects) {
    effects.messages().forEach(message -> settings.links().send(message.to(), message.message()));
    for (EndpointChange change : effects.changes()) {
      logger.atInfo().log("%s", EventLine.of(change.event()).with("endpoint", change.endpoint()));
    }
  }

  private void schedulePublish() {
    if (executor.isPresent() && !publishScheduled && membership.isViewInvalidated()) {
      publishScheduled = true;
      executor.get().execute(this::publish);
    }
  }

  private void awaitEmpty(Duration grace) {
    try {
      synchronized (lock) {
        Instant deadline = settings.clock().instant().plus(grace);
        while (!isEmptyOrAlone() && settings.clock().instant().isBefore(deadline)) {
          lock.wait(STOP_POLL_MILLISECONDS);
        }
      }
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns whether this entry holds no leases, or no other entry is alive to take them over. */
  private boolean isEmptyOrAlone() {
    return membership.ownEndpoints() == 0
        || membership
            .view(settings.clock().instant())
            .liveEntries()
            .equals(ImmutableSet.of(settings.self()));
  }

  /** An action on the membership, run under the lock at the current time. */
  private interface Action {
    void apply(EndpointMembership core, Instant now);
  }

  /** An {@link Action} with a result. */
  private interface ResultAction<T> {
    T apply(EndpointMembership core, Instant now);
  }
}
