package org.verbenawheel.membership;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.verbenawheel.identity.EndpointId;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.membership.MembershipMessages.EndpointLeft;
import org.verbenawheel.peer.PeerMessage;

/**
 * A simple membership to compare with: each entry sends the whole list of the endpoints that
 * announce to it on a timer, and every lease counts from the arrival of a message.
 */
final class WholeListDecisions implements EntryDecisions {
  private static final Duration LEASE = Duration.ofMillis(1500);
  private static final Duration INTERVAL = Duration.ofMillis(200);
  private static final long RENEW_AFTER_MILLISECONDS = 400;

  private final MembershipIdentity identity;
  private final Map<EndpointId, Lease> announced = new LinkedHashMap<>();
  private final Map<EndpointId, Lease> fromPeers = new LinkedHashMap<>();
  private final List<OutgoingMessage> messages = new ArrayList<>();
  private Instant nextListAt;

  WholeListDecisions(MembershipIdentity identity, MembershipTimings timings, Instant now) {
    this.identity = identity;
    this.nextListAt = now;
  }

  private record Lease(EndpointRecord endpoint, Instant end) {}

  /** The endpoints that announce to one entry. */
  record WholeList(ImmutableList<EndpointRecord> endpoints) implements PeerMessage {}

  @Override
  public AnnounceDecision announce(EndpointAnnouncement announcement, Instant now) {
    return new AnnounceDecision.Answer(announceLocally(announcement, now));
  }

  @Override
  public AnnounceReply announceLocally(EndpointAnnouncement announcement, Instant now) {
    EndpointRecord endpoint = announcement.endpoint();
    announced.put(endpoint.id(), new Lease(endpoint, now.plus(LEASE)));
    return new AnnounceReply(
        AnnounceStatus.GRANTED,
        identity.self(),
        Optional.empty(),
        Optional.empty(),
        LEASE.toMillis(),
        RENEW_AFTER_MILLISECONDS);
  }

  @Override
  public void leave(EndpointRecord endpoint, Instant now) {
    remove(endpoint.id());
    sendToAll(new EndpointLeft(endpoint.id(), endpoint.incarnation()));
  }

  @Override
  public void onMessage(ProcessId from, PeerMessage message, Instant now) {
    if (message instanceof WholeList list) {
      list.endpoints()
          .forEach(endpoint -> fromPeers.put(endpoint.id(), new Lease(endpoint, now.plus(LEASE))));
    } else if (message instanceof EndpointLeft left) {
      remove(left.endpoint());
    }
  }

  @Override
  public void tick(Instant now) {
    announced.values().removeIf(lease -> !lease.end().isAfter(now));
    fromPeers.values().removeIf(lease -> !lease.end().isAfter(now));
    if (!now.isBefore(nextListAt)) {
      nextListAt = now.plus(INTERVAL);
      sendToAll(
          new WholeList(
              announced.values().stream()
                  .map(Lease::endpoint)
                  .collect(ImmutableList.toImmutableList())));
    }
  }

  @Override
  public void queryPeers(Instant now) {
    // This implementation waits for the next lists.
  }

  @Override
  public void beginStop() {
    // This implementation has no message for it.
  }

  @Override
  public MembershipView view(Instant now) {
    Map<EndpointId, EndpointRecord> valid = new TreeMap<>();
    fromPeers.values().forEach(lease -> putIfValid(lease, now, valid));
    announced.values().forEach(lease -> putIfValid(lease, now, valid));
    return new MembershipView(0, ImmutableMap.copyOf(valid), identity.others());
  }

  @Override
  public ImmutableList<OutgoingMessage> takeMessages() {
    ImmutableList<OutgoingMessage> taken = ImmutableList.copyOf(messages);
    messages.clear();
    return taken;
  }

  private static void putIfValid(Lease lease, Instant now, Map<EndpointId, EndpointRecord> valid) {
    if (lease.end().isAfter(now)) {
      valid.put(lease.endpoint().id(), lease.endpoint());
    }
  }

  private void remove(EndpointId id) {
    announced.remove(id);
    fromPeers.remove(id);
  }

  private void sendToAll(PeerMessage message) {
    identity.others().forEach(other -> messages.add(new OutgoingMessage(other, message)));
  }
}
