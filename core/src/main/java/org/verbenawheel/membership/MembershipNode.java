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
import org.verbenawheel.membership.MembershipMessages.SpreadMessage;
import org.verbenawheel.peer.PeerHandler;
import org.verbenawheel.peer.PeerMessage;
import org.verbenawheel.supervision.FailureListener;
import org.verbenawheel.supervision.PartFailedException;
import org.verbenawheel.supervision.SupervisedPart;

/**
 * Runs the membership of one entry: takes the announcements of endpoints, exchanges changes and
 * heartbeats with the other entries and tells listeners who is alive. Safe for use by many threads.
 */
public final class MembershipNode implements SupervisedPart, PeerHandler, MembershipSource {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long STOP_POLL_MILLISECONDS = 20;

  private final MembershipSettings settings;
  private final List<Consumer<MembershipView>> listeners = new CopyOnWriteArrayList<>();
  private final Object lock = new Object();
  // Guarded by lock; the clock is read under it too, so that no word is dated before it was heard.
  private EndpointMembership membership;
  private Optional<ScheduledExecutorService> thread = Optional.empty();
  private boolean publishing;
  // Only used on the membership thread.
  private long publishedVersion;

  MembershipNode(MembershipSettings settings) {
    this.settings = settings;
    this.membership = newMembership();
  }

  /** Returns a builder; this entry's name, all entries' names and the links must be given. */
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
      publishing = false;
      thread = Optional.of(started);
    }
    if (settings.asksOnArrival()) {
      act((core, now) -> core.askOnArrival(now));
    }
    long tickMilliseconds = settings.timings().tick().toMillis();
    var unused =
        started.scheduleWithFixedDelay(
            () -> tickOrReport(failures), 0, tickMilliseconds, TimeUnit.MILLISECONDS);
  }

  /**
   * Takes an endpoint's announcement.
   *
   * @param announcement what the endpoint says
   * @return what to answer it; never fails
   */
  public CompletableFuture<AnnounceReply> announceLater(EndpointAnnouncement announcement) {
    AnnounceDecision decision = ask((core, now) -> core.announce(announcement, now));
    if (decision instanceof AnnounceDecision.Answer answer) {
      return CompletableFuture.completedFuture(answer.reply());
    }
    AnnounceDecision.Forward forward = (AnnounceDecision.Forward) decision;
    return settings
        .links()
        .request(forward.home(), announcement, settings.timings().forward())
        .handle(
            (reply, failure) ->
                reply instanceof AnnounceReply answered
                    ? answered
                    : ask((core, now) -> core.announceHere(announcement, now)));
  }

  /**
   * Takes an endpoint's announcement; waits up to {@link MembershipTimings#forward} if another
   * entry holds its lease.
   *
   * @param announcement what the endpoint says
   * @return what to answer it
   */
  public AnnounceReply announce(EndpointAnnouncement announcement) {
    return announceLater(announcement).join();
  }

  /**
   * Takes an endpoint's word that it leaves: it gets no new work of this entry from now on, none of
   * any other within milliseconds, and at most {@link MembershipTimings#worstLeave} later if the
   * others cannot be told.
   *
   * @param endpoint the endpoint
   * @param incarnation the incarnation that leaves, and all before it
   */
  public void leave(EndpointId endpoint, long incarnation) {
    act((core, now) -> core.leave(endpoint, incarnation, now));
  }

  /**
   * Begins the stop of this entry: tells the other entries and sends endpoints to them with their
   * next renewal. Its view still holds, so that requests in flight end in order.
   */
  public void beginDrain() {
    act((core, now) -> core.beginStop());
  }

  @Override
  public void stop(Duration grace) {
    Optional<ScheduledExecutorService> stopping;
    synchronized (lock) {
      stopping = thread;
      thread = Optional.empty();
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
    if (settings.others().contains(from) && message instanceof SpreadMessage spread) {
      act((core, now) -> core.onMessage(from, spread, now));
    }
  }

  @Override
  public Optional<CompletableFuture<PeerMessage>> onRequest(ProcessId from, PeerMessage message) {
    if (!(message instanceof EndpointAnnouncement announcement)) {
      return Optional.empty();
    }
    AnnounceReply reply = ask((core, now) -> core.announceHere(announcement, now));
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

  /** Returns the state for a person. */
  public MembershipDump dump() {
    return ask((core, now) -> core.dump(now));
  }

  private EndpointMembership newMembership() {
    return new EndpointMembership(
        settings.newIdentity(), settings.timings(), settings.clock().instant());
  }

  private void tickOrReport(FailureListener failures) {
    try {
      act((core, now) -> core.tick(now));
      publish();
    } catch (RuntimeException fault) {
      failures.onFailure(new PartFailedException("the thread of membership failed", fault));
    }
  }

  /** Tells the listeners of a newer view; only on the membership thread. */
  private void publish() {
    MembershipView view;
    synchronized (lock) {
      publishing = false;
      view = membership.view(settings.clock().instant());
    }
    if (view.version() == publishedVersion) {
      return;
    }
    publishedVersion = view.version();
    listeners.forEach(listener -> listener.accept(view));
  }

  private void act(Action action) {
    boolean unused =
        ask(
            (core, now) -> {
              action.on(core, now);
              return true;
            });
  }

  private <T> T ask(Question<T> question) {
    synchronized (lock) {
      T answer = question.on(membership, settings.clock().instant());
      perform(membership.takeEffects());
      publishSoon();
      return answer;
    }
  }

  private void perform(MembershipEffects effects) {
    effects.messages().forEach(message -> settings.links().send(message.to(), message.message()));
    for (EndpointChange change : effects.changes()) {
      logger.atInfo().log("%s", EventLine.of(change.event()).with("endpoint", change.endpoint()));
    }
  }

  private void publishSoon() {
    if (thread.isPresent() && !publishing && membership.viewIsStale()) {
      publishing = true;
      thread.get().execute(this::publish);
    }
  }

  private void awaitEmpty(Duration grace) {
    try {
      synchronized (lock) {
        Instant end = settings.clock().instant().plus(grace);
        while (!isEmptyOrAlone() && settings.clock().instant().isBefore(end)) {
          lock.wait(STOP_POLL_MILLISECONDS);
        }
      }
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns whether no endpoint is left here, or no other entry that could take them. */
  private boolean isEmptyOrAlone() {
    return membership.ownEndpoints() == 0
        || membership
            .view(settings.clock().instant())
            .liveEntries()
            .equals(ImmutableSet.of(settings.self()));
  }

  /** A decision without an answer. */
  private interface Action {
    void on(EndpointMembership core, Instant now);
  }

  /** A decision with an answer. */
  private interface Question<T> {
    T on(EndpointMembership core, Instant now);
  }
}
