package org.verbenawheel.membership;

import com.google.common.collect.ImmutableList;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.verbenawheel.event.Event;
import org.verbenawheel.identity.EndpointId;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.membership.MembershipMessages.EndpointLeft;
import org.verbenawheel.membership.MembershipMessages.EntryStopping;
import org.verbenawheel.membership.MembershipMessages.Heartbeat;
import org.verbenawheel.membership.MembershipMessages.OneWayMessage;
import org.verbenawheel.membership.MembershipMessages.SectionAnswer;
import org.verbenawheel.membership.MembershipMessages.SectionDelta;
import org.verbenawheel.membership.MembershipMessages.SectionQuery;
import org.verbenawheel.peer.PeerMessage;

/**
 * Determines at one entry which endpoints and entries are alive. It holds the leases of the
 * endpoints that have this entry as their home entry, and copies of the endpoints that the other
 * entries hold. A copy counts only for {@link MembershipTimings#trustTimeout} after its home entry
 * last confirmed it.
 *
 * <p>Does no I/O and reads no clock: callers pass the time in and fetch the messages and log events
 * with {@link #takeEffects}. Not thread-safe.
 */
final class EndpointMembership {
  /** Departures are kept for this many times {@link MembershipTimings#LEAVE_BOUND}. */
  private static final int DEPARTURE_RETENTION_BOUNDS = 5;

  private final MembershipIdentity identity;
  private final MembershipTimings timings;
  private final OwnSection own = new OwnSection();
  private final PeerSections peers;
  private final DepartedEndpoints departed;
  private final SentStamps stamps;
  private final LeaseIssuer leaseIssuer;
  private final ViewCache views;
  private final List<OutgoingMessage> messages = new ArrayList<>();
  private final List<EndpointChange> changes = new ArrayList<>();
  private final Map<ProcessId, Long> stampsToEcho = new TreeMap<>();
  private Instant nextHeartbeatAt;
  private boolean stopNoticePending;

  EndpointMembership(MembershipIdentity identity, MembershipTimings timings, Instant startedAt) {
    this.identity = identity;
    this.timings = timings;
    this.peers = new PeerSections(timings.trustTimeout());
    this.departed =
        new DepartedEndpoints(
            MembershipTimings.LEAVE_BOUND.multipliedBy(DEPARTURE_RETENTION_BOUNDS));
    this.stamps = new SentStamps(identity.firstStamp(), timings.trustTimeout());
    this.leaseIssuer = new LeaseIssuer(identity, timings, startedAt, own, peers, departed);
    this.views = new ViewCache(identity.self(), own, peers, departed);
    this.nextHeartbeatAt = startedAt;
  }

  /** Queries all other entries for their endpoints, rather than wait for their next heartbeats. */
  void queryPeers(Instant now) {
    sendToAll(new SectionQuery(stamps.next(now), 0, ImmutableList.of()));
  }

  /**
   * Answers an announcement that an endpoint sent over HTTP, or names the entry to forward it to.
   */
  AnnounceDecision announce(EndpointAnnouncement announcement, Instant now) {
    expire(now);
    Optional<ProcessId> home = leaseIssuer.homeToForwardTo(announcement, now);
    if (home.isPresent()) {
      return new AnnounceDecision.Forward(home.get());
    }
    return new AnnounceDecision.Answer(announceLocally(announcement, now));
  }

  /** Answers an announcement at this entry, without forwarding it. */
  AnnounceReply announceLocally(EndpointAnnouncement announcement, Instant now) {
    expire(now);
    long versionBefore = own.version();
    AnnounceReply reply =
        leaseIssuer.answer(announcement, newestIncarnation(announcement.endpoint().id(), now), now);
    if (own.version() != versionBefore) {
      views.invalidate();
      changes.add(new EndpointChange(Event.ENDPOINT_JOINED, announcement.endpoint().id()));
    }
    return reply;
  }

  /** Removes an endpoint that reported its departure, and sends the departure to all entries. */
  void leave(EndpointId id, long endpointIncarnation, Instant now) {
    if (recordDeparture(id, endpointIncarnation, now)) {
      changes.add(new EndpointChange(Event.ENDPOINT_LEFT, id));
    }
    // Sent again even if already recorded: an earlier message may not have reached every entry.
    sendToAll(new EndpointLeft(id, endpointIncarnation));
    sendChanges();
  }

  /** Handles a message from another entry. */
  void onMessage(ProcessId from, OneWayMessage message, Instant now) {
    if (message instanceof Heartbeat heartbeat) {
      onHeartbeat(from, heartbeat, now);
    } else if (message instanceof SectionDelta delta) {
      onDelta(from, delta, now);
    } else if (message instanceof SectionQuery query) {
      onQuery(from, query, now);
    } else if (message instanceof SectionAnswer answer) {
      onAnswer(from, answer);
    } else if (message instanceof EndpointLeft left) {
      recordDeparture(left.endpoint(), left.incarnation(), now);
      sendChanges();
    } else if (message instanceof EntryStopping stopping) {
      peers.getOrCreate(from, stopping.incarnation()).markStopping();
      views.invalidate();
    }
  }

  /** Expires leases and sends changes, plus heartbeats once per interval. */
  void tick(Instant now) {
    expire(now);
    sendChanges();
    sendStopNotice();
    if (now.isBefore(nextHeartbeatAt)) {
      return;
    }
    nextHeartbeatAt = now.plus(timings.heartbeatInterval());
    long stamp = stamps.next(now);
    for (ProcessId other : identity.others()) {
      send(
          other,
          new Heartbeat(
              identity.incarnation(),
              stamp,
              stampsToEcho.getOrDefault(other, 0L),
              own.version(),
              own.contents().digest()));
    }
  }

  /**
   * Begins to stop this entry: removes it from its own view at once, notifies the other entries
   * with the next tick and redirects its endpoints to other entries. In this order, work that this
   * entry does for the others ends here before another entry takes it over.
   */
  void beginStop() {
    leaseIssuer.beginStop();
    views.excludeSelf();
    stopNoticePending = true;
  }

  private void sendStopNotice() {
    if (stopNoticePending) {
      stopNoticePending = false;
      sendToAll(new EntryStopping(identity.incarnation()));
    }
  }

  /** Returns the number of endpoints with a lease at this entry. */
  int ownEndpoints() {
    return own.contents().size();
  }

  /** Returns the messages and log events since the last call, and clears them. */
  MembershipEffects takeEffects() {
    MembershipEffects effects =
        new MembershipEffects(ImmutableList.copyOf(messages), ImmutableList.copyOf(changes));
    messages.clear();
    changes.clear();
    return effects;
  }

  /** Returns the endpoints and entries that count as alive at this instant. */
  MembershipView view(Instant now) {
    if (views.isStale(now)) {
      expire(now);
    }
    return views.view(now);
  }

  /** Returns whether a change since the last {@link #view} call requires a new view. */
  boolean isViewInvalidated() {
    return views.isInvalidated();
  }

  /** Returns the state for the diagnostic dump. */
  MembershipDump dump(Instant now) {
    MembershipView view = view(now);
    return new MembershipDump(
        identity.self().value(),
        identity.incarnation(),
        own.version(),
        own.contents().size(),
        view.version(),
        view.endpoints().size(),
        view.liveEntries().asList(),
        peers.dump(now));
  }

  private void onHeartbeat(ProcessId from, Heartbeat heartbeat, Instant now) {
    stampsToEcho.put(from, heartbeat.stamp());
    PeerSection section = peers.getOrCreate(from, heartbeat.incarnation());
    if (!section.matches(heartbeat.version(), heartbeat.digest())) {
      sendQuery(from, heartbeat.incarnation(), section, now);
    }
    confirm(section, heartbeat.echo(), heartbeat.version(), heartbeat.digest());
  }

  private void onDelta(ProcessId from, SectionDelta delta, Instant now) {
    PeerSection section = peers.getOrCreate(from, delta.incarnation());
    if (section.apply(delta)) {
      views.invalidate();
    } else {
      sendQuery(from, delta.incarnation(), section, now);
    }
  }

  private void onQuery(ProcessId from, SectionQuery query, Instant now) {
    expire(now);
    sendChanges();
    ImmutableList<Long> digests =
        query.incarnation() == identity.incarnation() ? query.bucketDigests() : ImmutableList.of();
    send(
        from,
        new SectionAnswer(
            identity.incarnation(),
            query.stamp(),
            own.version(),
            own.contents().digest(),
            own.contents().bucketsThatDiffer(digests)));
  }

  private void onAnswer(ProcessId from, SectionAnswer answer) {
    PeerSection section = peers.getOrCreate(from, answer.incarnation());
    section.apply(answer);
    confirm(section, answer.echo(), answer.version(), answer.digest());
    views.invalidate();
  }

  private void sendQuery(ProcessId home, long homeIncarnation, PeerSection section, Instant now) {
    send(
        home,
        new SectionQuery(stamps.next(now), homeIncarnation, section.contents().bucketDigests()));
  }

  /** Extends the trust in a copy and its entry, counted from when this entry sent the stamp. */
  private void confirm(PeerSection section, long echo, long version, long digest) {
    Optional<Instant> stampSentAt = stamps.sentAt(echo);
    if (stampSentAt.isEmpty()) {
      return;
    }
    Instant sentAt = stampSentAt.get();
    boolean wasTrusted = sentAt.isBefore(section.confirmedAt().plus(timings.trustTimeout()));
    boolean wasAlive = sentAt.isBefore(section.aliveAt().plus(timings.trustTimeout()));
    section.recordAlive(sentAt);
    section.confirm(version, digest, sentAt);
    if (!wasTrusted || !wasAlive) {
      views.invalidate();
    }
  }

  /** Returns false if this or a higher incarnation had already left. */
  private boolean recordDeparture(EndpointId id, long endpointIncarnation, Instant now) {
    boolean isNew = departed.add(id, endpointIncarnation, now);
    boolean heldHere =
        own.contents()
            .find(id)
            .filter(held -> held.endpoint().incarnation() <= endpointIncarnation)
            .isPresent();
    if (heldHere) {
      own.drop(id);
    }
    views.invalidate();
    return isNew;
  }

  private void expire(Instant now) {
    departed.expire(now);
    peers.expire(now);
    for (EndpointId expired : own.expire(now)) {
      changes.add(new EndpointChange(Event.ENDPOINT_EXPIRED, expired));
      views.invalidate();
    }
  }

  private void sendChanges() {
    own.takeDelta(identity.incarnation()).ifPresent(this::sendToAll);
  }

  private long newestIncarnation(EndpointId id, Instant now) {
    return Optional.ofNullable(view(now).endpoints().get(id))
        .map(EndpointRecord::incarnation)
        .orElse(Long.MIN_VALUE);
  }

  private void sendToAll(PeerMessage message) {
    identity.others().forEach(other -> send(other, message));
  }

  private void send(ProcessId to, PeerMessage message) {
    messages.add(new OutgoingMessage(to, message));
  }
}
