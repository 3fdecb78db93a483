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

/**
 * Answers announcements at one entry: grants and renews leases, and chooses the endpoint's home
 * entry, the one that holds its lease.
 */
final class LeaseIssuer {
  /** The maximum number of leases that one entry holds. */
  static final int MAXIMUM_OWN_ENDPOINTS = 20_000;

  /** Renewals are not forwarded to a home entry that was silent for this many heartbeats. */
  private static final int RESPONSIVE_HEARTBEATS = 4;

  /**
   * Without a responsive majority of entries, one in this many renewals of an endpoint is
   * redirected.
   */
  private static final int RENEWALS_PER_REDIRECT = 2;

  private static final Duration SHORTEST_LEASE = Duration.ofMillis(300);
  private static final Duration RETRY_WHEN_FULL = Duration.ofSeconds(1);

  private final MembershipIdentity identity;
  private final MembershipTimings timings;
  private final Instant startedAt;
  private final OwnSection own;
  private final PeerSections peers;
  private final DepartedEndpoints departed;
  private boolean stopping;

  LeaseIssuer(
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

  /** Redirects endpoints to other entries from now on. */
  void beginStop() {
    stopping = true;
  }

  /** Returns the responsive entry that holds the lease; empty if this entry must answer. */
  Optional<ProcessId> homeToForwardTo(EndpointAnnouncement announcement, Instant now) {
    return announcement
        .token()
        .map(LeaseToken::home)
        .filter(home -> !home.equals(identity.self()))
        .filter(home -> responsive(now).contains(home));
  }

  /**
   * Answers an announcement at this entry, and grants or renews the lease if it can.
   *
   * @param newestIncarnation the endpoint's newest incarnation in this entry's view
   */
  AnnounceReply answer(EndpointAnnouncement announcement, long newestIncarnation, Instant now) {
    EndpointRecord endpoint = announcement.endpoint();
    if (departed.contains(endpoint.id(), endpoint.incarnation())) {
      return refusal(AnnounceStatus.LEFT, Duration.ZERO);
    }
    if (endpoint.incarnation() < newestIncarnation) {
      return refusal(AnnounceStatus.SUPERSEDED, Duration.ZERO);
    }
    Optional<ProcessId> otherHome =
        stopping ? chooseOtherHome(endpoint.id(), now) : Optional.empty();
    if (otherHome.isPresent()) {
      return announceAgain(otherHome.get(), Optional.empty());
    }
    Instant leaseStart =
        announcement.token().flatMap(token -> issuedAt(token, now)).orElse(Instant.MIN);
    Duration lease = leaseDuration(announcement);
    Instant end = leaseStart.plus(lease);
    if (!end.isAfter(now)) {
      return announceAgain(identity.self(), Optional.of(newToken(now)));
    }
    if (own.contents().size() >= MAXIMUM_OWN_ENDPOINTS
        && own.contents().find(endpoint.id()).isEmpty()) {
      return refusal(AnnounceStatus.FULL, RETRY_WHEN_FULL);
    }
    own.grant(announcement, end);
    ProcessId nextHome = homeForNextRenewal(endpoint.id(), now);
    return granted(nextHome, lease, Duration.between(now, end), now);
  }

  /**
   * Returns this entry, or another one if fewer than a majority of entries respond. This entry is
   * then probably partitioned, and the endpoint would expire from the others' views although it is
   * healthy. The lease here continues, and only every second renewal is redirected, because the
   * other entries may be dead instead.
   */
  private ProcessId homeForNextRenewal(EndpointId id, Instant now) {
    int renewals = own.renewals(id);
    if (isMajorityResponsive(now) || renewals % RENEWALS_PER_REDIRECT != 0) {
      return identity.self();
    }
    int redirects = renewals / RENEWALS_PER_REDIRECT;
    return identity.others().asList().get(redirects % identity.others().size());
  }

  private boolean isMajorityResponsive(Instant now) {
    int responsive = 1 + responsive(now).size();
    int total = 1 + identity.others().size();
    return total <= 2 || 2 * responsive > total;
  }

  private AnnounceReply granted(ProcessId home, Duration lease, Duration remaining, Instant now) {
    Duration interval = MembershipTimings.renewalInterval(lease);
    Duration halfRemaining = remaining.dividedBy(2);
    Duration wait = halfRemaining.compareTo(interval) < 0 ? halfRemaining : interval;
    return new AnnounceReply(
        AnnounceStatus.GRANTED,
        home,
        addressOf(home),
        Optional.of(newToken(now)),
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

  private Duration leaseDuration(EndpointAnnouncement announcement) {
    Duration wanted = Duration.ofMillis(announcement.wantedLeaseMilliseconds());
    if (wanted.compareTo(SHORTEST_LEASE) < 0) {
      return SHORTEST_LEASE;
    }
    return wanted.compareTo(timings.lease()) < 0 ? wanted : timings.lease();
  }

  private LeaseToken newToken(Instant now) {
    return new LeaseToken(
        identity.self(), identity.incarnation(), Duration.between(startedAt, now).toMillis());
  }

  /** Returns when this process issued a token; empty if another process did. */
  private Optional<Instant> issuedAt(LeaseToken token, Instant now) {
    boolean issuedHere =
        token.home().equals(identity.self()) && token.homeIncarnation() == identity.incarnation();
    if (!issuedHere) {
      return Optional.empty();
    }
    long elapsed = Duration.between(startedAt, now).toMillis();
    long issued = Math.max(0, Math.min(token.issuedMilliseconds(), elapsed));
    return Optional.of(startedAt.plusMillis(issued));
  }

  private Optional<ProcessId> chooseOtherHome(EndpointId id, Instant now) {
    return responsive(now).stream().max(Comparator.comparingLong(other -> weight(other, id)));
  }

  /** Returns the rendezvous-hashing weight of an entry for an endpoint; the same at each entry. */
  private static long weight(ProcessId entry, EndpointId id) {
    return Hashing.murmur3_128()
        .hashString(entry.value() + ' ' + id.value(), StandardCharsets.UTF_8)
        .asLong();
  }

  private ImmutableSet<ProcessId> responsive(Instant now) {
    return peers.responsive(now, timings.heartbeatInterval().multipliedBy(RESPONSIVE_HEARTBEATS));
  }

  private Optional<String> addressOf(ProcessId entry) {
    return Optional.ofNullable(identity.announceAddresses().get(entry));
  }
}
