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
import org.verbenawheel.membership.MembershipMessages.SectionAnswer;
import org.verbenawheel.membership.MembershipMessages.SectionDelta;
import org.verbenawheel.membership.MembershipMessages.SectionQuery;
import org.verbenawheel.membership.MembershipMessages.SpreadMessage;
import org.verbenawheel.peer.PeerMessage;

/**
 * Decides who is alive, at one entry: holds the leases of the endpoints whose home it is, keeps
 * copies of the other entries' endpoints and trusts each only as long as its entry vouches for it.
 *
 * <p>Takes the time as an argument and collects effects; not safe for use by many threads.
 */
final class EndpointMembership {
  /** Departures are remembered for this many times the bound within which they take effect. */
  private static final int DEPARTURE_MEMORY_BOUNDS = 5;

  private final MembershipIdentity identity;
  private final MembershipTimings timings;
  private final OwnSection own = new OwnSection();
  private final PeerSections peers;
  private final DepartedEndpoints departed;
  private final SentStamps stamps;
  private final LeaseDesk leaseDesk;
  private final ViewKeeper views;
  private final List<OutgoingMessage> messages = new ArrayList<>();
  private final List<EndpointChange> changes = new ArrayList<>();
  private final Map<ProcessId, Long> echoes = new TreeMap<>();
  private Instant nextHeartbeatAt;
  private boolean stopUntold;

  EndpointMembership(MembershipIdentity identity, MembershipTimings timings, Instant startedAt) {
    this.identity = identity;
    this.timings = timings;
    this.peers = new PeerSections(timings.vouch());
    this.departed =
        new DepartedEndpoints(MembershipTimings.LEAVE_BOUND.multipliedBy(DEPARTURE_MEMORY_BOUNDS));
    this.stamps = new SentStamps(identity.firstStamp(), timings.vouch());
    this.leaseDesk = new LeaseDesk(identity, timings, startedAt, own, peers, departed);
    this.views = new ViewKeeper(identity.self(), own, peers, departed);
    this.nextHeartbeatAt = startedAt;
  }

  /** Asks all other entries for their endpoints, instead of waiting for their next heartbeat. */
  void askOnArrival(Instant now) {
    tellAll(new SectionQuery(stamps.next(now), 0, ImmutableList.of()));
  }

  /** Decides about an endpoint's announcement that came over HTTP. */
  AnnounceDecision announce(EndpointAnnouncement announcement, Instant now) {
    expire(now);
    Optional<ProcessId> home = leaseDesk.homeToForwardTo(announcement, now);
    if (home.isPresent()) {
      return new AnnounceDecision.Forward(home.get());
    }
    return new AnnounceDecision.Answer(announceHere(announcement, now));
  }

  /** Decides about an announcement that is not to be passed on (any more). */
  AnnounceReply announceHere(EndpointAnnouncement announcement, Instant now) {
    expire(now);
    long before = own.version();
    AnnounceReply reply =
        leaseDesk.answer(announcement, newestIncarnation(announcement.endpoint().id(), now), now);
    if (own.version() != before) {
      views.invalidate();
      changes.add(new EndpointChange(Event.ENDPOINT_JOINED, announcement.endpoint().id()));
    }
    return reply;
  }

  /** Takes an endpoint's word that it leaves. */
  void leave(EndpointId id, long endpointIncarnation, Instant now) {
    if (depart(id, endpointIncarnation, now)) {
      changes.add(new EndpointChange(Event.ENDPOINT_LEFT, id));
    }
    // Told again even if known: the first word may have been lost on its way to some entry.
    tellAll(new EndpointLeft(id, endpointIncarnation));
    spreadChanges();
  }

  /** Takes a message of another entry. */
  void onMessage(ProcessId from, SpreadMessage message, Instant now) {
    if (message instanceof Heartbeat heartbeat) {
      onHeartbeat(from, heartbeat, now);
    } else if (message instanceof SectionDelta delta) {
      onDelta(from, delta, now);
    } else if (message instanceof SectionQuery query) {
      onQuery(from, query, now);
    } else if (message instanceof SectionAnswer answer) {
      onAnswer(from, answer);
    } else if (message instanceof EndpointLeft left) {
      depart(left.endpoint(), left.incarnation(), now);
      spreadChanges();
    } else if (message instanceof EntryStopping stopping) {
      peers.of(from, stopping.incarnation()).stopping();
      views.invalidate();
    }
  }

  /** Does what is due: ends leases, spreads changes, sends heartbeats. */
  void tick(Instant now) {
    expire(now);
    spreadChanges();
    tellStop();
    if (now.isBefore(nextHeartbeatAt)) {
      return;
    }
    nextHeartbeatAt = now.plus(timings.heartbeat());
    long stamp = stamps.next(now);
    for (ProcessId other : identity.others()) {
      tell(
          other,
          new Heartbeat(
              identity.incarnation(),
              stamp,
              echoes.getOrDefault(other, 0L),
              own.version(),
              own.contents().digest()));
    }
  }

  /**
   * Begins the stop of this entry: it leaves its own view at once, the others are told with the
   * next tick, its endpoints are sent elsewhere. So whatever this entry does for the others ends
   * here before it begins elsewhere.
   */
  void beginStop() {
    leaseDesk.beginStop();
    views.leave();
    stopUntold = true;
  }

  private void tellStop() {
    if (stopUntold) {
      stopUntold = false;
      tellAll(new EntryStopping(identity.incarnation()));
    }
  }

  /** Returns how many endpoints have their home here. */
  int ownEndpoints() {
    return own.contents().size();
  }

  /** Takes the effects since the last call. */
  MembershipEffects takeEffects() {
    MembershipEffects effects =
        new MembershipEffects(ImmutableList.copyOf(messages), ImmutableList.copyOf(changes));
    messages.clear();
    changes.clear();
    return effects;
  }

  /** Returns what may be relied on at this instant. */
  MembershipView view(Instant now) {
    if (views.isStale(now)) {
      expire(now);
    }
    return views.view(now);
  }

  /** Returns whether the view must be made anew. */
  boolean viewIsStale() {
    return views.isInvalidated();
  }

  /** Returns the state for a person. */
  MembershipDump dump(Instant now) {
    MembershipView present = view(now);
    return new MembershipDump(
        identity.self().value(),
        identity.incarnation(),
        own.version(),
        own.contents().size(),
        present.version(),
        present.endpoints().size(),
        present.liveEntries().asList(),
        peers.dump(now));
  }

  private void onHeartbeat(ProcessId from, Heartbeat heartbeat, Instant now) {
    echoes.put(from, heartbeat.stamp());
    PeerSection section = peers.of(from, heartbeat.incarnation());
    if (!section.matches(heartbeat.version(), heartbeat.digest())) {
      query(from, heartbeat.incarnation(), section, now);
    }
    vouch(section, heartbeat.echo(), heartbeat.version(), heartbeat.digest());
  }

  private void onDelta(ProcessId from, SectionDelta delta, Instant now) {
    PeerSection section = peers.of(from, delta.incarnation());
    if (section.apply(delta)) {
      views.invalidate();
    } else {
      query(from, delta.incarnation(), section, now);
    }
  }

  private void onQuery(ProcessId from, SectionQuery query, Instant now) {
    expire(now);
    spreadChanges();
    ImmutableList<Long> digests =
        query.incarnation() == identity.incarnation() ? query.bucketDigests() : ImmutableList.of();
    tell(
        from,
        new SectionAnswer(
            identity.incarnation(),
            query.stamp(),
            own.version(),
            own.contents().digest(),
            own.contents().bucketsThatDiffer(digests)));
  }

  private void onAnswer(ProcessId from, SectionAnswer answer) {
    PeerSection section = peers.of(from, answer.incarnation());
    section.apply(answer);
    vouch(section, answer.echo(), answer.version(), answer.digest());
    views.invalidate();
  }

  private void query(ProcessId home, long homeIncarnation, PeerSection section, Instant now) {
    tell(
        home,
        new SectionQuery(stamps.next(now), homeIncarnation, section.contents().bucketDigests()));
  }

  private void vouch(PeerSection section, long echo, long version, long digest) {
    Optional<Instant> stampSentAt = stamps.sentAt(echo);
    if (stampSentAt.isEmpty()) {
      return;
    }
    Instant sentAt = stampSentAt.get();
    boolean wasTrusted = sentAt.isBefore(section.vouchedAt().plus(timings.vouch()));
    boolean wasAlive = sentAt.isBefore(section.aliveAt().plus(timings.vouch()));
    section.alive(sentAt);
    section.vouch(version, digest, sentAt);
    if (!wasTrusted || !wasAlive) {
      views.invalidate();
    }
  }

  private boolean depart(EndpointId id, long endpointIncarnation, Instant now) {
    boolean news = departed.add(id, endpointIncarnation, now);
    boolean leaves =
        own.contents()
            .find(id)
            .filter(held -> held.endpoint().incarnation() <= endpointIncarnation)
            .isPresent();
    if (leaves) {
      own.drop(id);
    }
    views.invalidate();
    return news;
  }

  private void expire(Instant now) {
    departed.expire(now);
    peers.expire(now);
    for (EndpointId ended : own.expire(now)) {
      changes.add(new EndpointChange(Event.ENDPOINT_EXPIRED, ended));
      views.invalidate();
    }
  }

  private void spreadChanges() {
    own.takeDelta(identity.incarnation()).ifPresent(this::tellAll);
  }

  private long newestIncarnation(EndpointId id, Instant now) {
    return Optional.ofNullable(view(now).endpoints().get(id))
        .map(EndpointRecord::incarnation)
        .orElse(Long.MIN_VALUE);
  }

  private void tellAll(PeerMessage message) {
    identity.others().forEach(other -> tell(other, message));
  }

  private void tell(ProcessId to, PeerMessage message) {
    messages.add(new OutgoingMessage(to, message));
  }
}
