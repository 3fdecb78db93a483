package org.verbenawheel.membership;

import com.google.common.collect.ImmutableSet;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.Optional;
import org.verbenawheel.identity.EndpointId;
import org.verbenawheel.identity.ProcessId;

/** Decides about announcements at one entry: which entry is home, and how long a lease runs. */
final class LeaseDesk {
  /** The most endpoints whose lease one entry holds. */
  static final int MAXIMUM_OWN_ENDPOINTS = 20_000;

  /** A home entry that was silent for this many heartbeats gets no renewals passed on. */
  private static final int RESPONSIVE_HEARTBEATS = 4;

  /** An entry that hears of no majority sends every renewal of this number to another entry. */
  private static final int RENEWALS_PER_HAND_ON = 2;

  private static final Duration SHORTEST_LEASE = Duration.ofMillis(300);
  private static final Duration FULL_WAIT = Duration.ofSeconds(1);

  private final MembershipIdentity identity;
  private final MembershipTimings timings;
  private final Instant startedAt;
  private final OwnSection own;
  private final PeerSections peers;
  private final DepartedEndpoints departed;
  private boolean stopping;

  LeaseDesk(
      MembershipIdentity identity,
      MembershipTimings timings,
      Instant startedAt,
      OwnSection own,
      PeerSections peers,
      DepartedEndpoints departed) {
    this.identity = identity;
    this.timings = timings;
    this.startedAt = startedAt;
    this.own = own;
    this.peers = peers;
    this.departed = departed;
  }

  /** Sends endpoints to other entries from now on. */
  void beginStop() {
    stopping = true;
  }

  /** Returns the entry that must decide; empty if this one decides. */
  Optional<ProcessId> homeToForwardTo(EndpointAnnouncement announcement, Instant now) {
    return announcement
        .token()
        .map(LeaseToken::home)
        .filter(home -> !home.equals(identity.self()))
        .filter(home -> responsive(now).contains(home));
  }

  /**
   * Answers an announcement here.
   *
   * @param newestIncarnation the newest incarnation of the endpoint that is known
   */
  AnnounceReply answer(EndpointAnnouncement announcement, long newestIncarnation, Instant now) {
    EndpointRecord endpoint = announcement.endpoint();
    if (departed.has(endpoint.id(), endpoint.incarnation())) {
      return refusal(AnnounceStatus.LEFT, Duration.ZERO);
    }
    if (endpoint.incarnation() < newestIncarnation) {
      return refusal(AnnounceStatus.SUPERSEDED, Duration.ZERO);
    }
    Optional<ProcessId> elsewhere = stopping ? anotherHome(endpoint.id(), now) : Optional.empty();
    if (elsewhere.isPresent()) {
      return announceAgain(elsewhere.get(), Optional.empty());
    }
    Instant leaseFrom =
        announcement.token().flatMap(token -> issuedAt(token, now)).orElse(Instant.MIN);
    Duration lease = leaseOf(announcement);
    Instant end = leaseFrom.plus(lease);
    if (!end.isAfter(now)) {
      return announceAgain(identity.self(), Optional.of(tokenOf(now)));
    }
    if (own.contents().size() >= MAXIMUM_OWN_ENDPOINTS
        && own.contents().find(endpoint.id()).isEmpty()) {
      return refusal(AnnounceStatus.FULL, FULL_WAIT);
    }
    own.grant(announcement, end);
    ProcessId next = homeForNextRenewal(endpoint.id(), now);
    return granted(next, lease, Duration.between(now, end), now);
  }

  /**
   * Returns this entry, or another if this one hears of no majority: it is then probably cut off,
   * and the endpoint would drop out of the others' views while it is well. The lease here goes on,
   * and only every second renewal is sent away, in case the others are dead instead.
   */
  private ProcessId homeForNextRenewal(EndpointId id, Instant now) {
    int renewals = own.renewals(id);
    if (hearsMajority(now) || renewals % RENEWALS_PER_HAND_ON != 0) {
      return identity.self();
    }
    int turn = renewals / RENEWALS_PER_HAND_ON;
    return identity.others().asList().get(turn % identity.others().size());
  }

  private boolean hearsMajority(Instant now) {
    int heard = 1 + responsive(now).size();
    int all = 1 + identity.others().size();
    return all <= 2 || 2 * heard > all;
  }

  private AnnounceReply granted(ProcessId home, Duration lease, Duration remaining, Instant now) {
    Duration interval = MembershipTimings.renewalInterval(lease);
    Duration half = remaining.dividedBy(2);
    Duration wait = half.compareTo(interval) < 0 ? half : interval;
    return new AnnounceReply(
        AnnounceStatus.GRANTED,
        home,
        addressOf(home),
        Optional.of(tokenOf(now)),
        lease.toMillis(),
        wait.toMillis());
  }

  private AnnounceReply announceAgain(ProcessId home, Optional<LeaseToken> token) {
    return new AnnounceReply(AnnounceStatus.ANNOUNCE_AGAIN, home, addressOf(home), token, 0, 0);
  }

  private AnnounceReply refusal(AnnounceStatus status, Duration wait) {
    return new AnnounceReply(
        status, identity.self(), addressOf(identity.self()), Optional.empty(), 0, wait.toMillis());
  }

  private Duration leaseOf(EndpointAnnouncement announcement) {
    Duration wanted = Duration.ofMillis(announcement.wantedLeaseMilliseconds());
    if (wanted.compareTo(SHORTEST_LEASE) < 0) {
      return SHORTEST_LEASE;
    }
    return wanted.compareTo(timings.lease()) < 0 ? wanted : timings.lease();
  }

  private LeaseToken tokenOf(Instant now) {
    return new LeaseToken(
        identity.self(), identity.incarnation(), Duration.between(startedAt, now).toMillis());
  }

  /** Returns when this very process issued a token; empty if another did. */
  private Optional<Instant> issuedAt(LeaseToken token, Instant now) {
    boolean ours =
        token.home().equals(identity.self()) && token.homeIncarnation() == identity.incarnation();
    if (!ours) {
      return Optional.empty();
    }
    long elapsed = Duration.between(startedAt, now).toMillis();
    long issued = Math.max(0, Math.min(token.issuedMilliseconds(), elapsed));
    return Optional.of(startedAt.plusMillis(issued));
  }

  private Optional<ProcessId> anotherHome(EndpointId id, Instant now) {
    return responsive(now).stream().max(Comparator.comparingLong(other -> weight(other, id)));
  }

  /** Returns a number that spreads endpoints over entries, the same at each entry. */
  private static long weight(ProcessId entry, EndpointId id) {
    return Hashing.murmur3_128()
        .hashString(entry.value() + ' ' + id.value(), StandardCharsets.UTF_8)
        .asLong();
  }

  private ImmutableSet<ProcessId> responsive(Instant now) {
    return peers.responsive(now, timings.heartbeat().multipliedBy(RESPONSIVE_HEARTBEATS));
  }

  private Optional<String> addressOf(ProcessId entry) {
    return Optional.ofNullable(identity.announceAddresses().get(entry));
  }
}
