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
 * The naive way: each entry sends the whole list of the endpoints that announce to it on a timer,
 * and every lease runs from the arrival of a word.
 */
final class WholeListDecisions implements EntryDecisions {
  private static final Duration LEASE = Duration.ofMillis(1500);
  private static final Duration INTERVAL = Duration.ofMillis(200);
  private static final long RENEW_AFTER_MILLISECONDS = 400;

  private final MembershipIdentity identity;
  private final Map<EndpointId, Heard> direct = new LinkedHashMap<>();
  private final Map<EndpointId, Heard> told = new LinkedHashMap<>();
  private final List<OutgoingMessage> messages = new ArrayList<>();
  private Instant nextListAt;

  WholeListDecisions(MembershipIdentity identity, MembershipTimings timings, Instant now) {
    this.identity = identity;
    this.nextListAt = now;
  }

  private record Heard(EndpointRecord endpoint, Instant end) {}

  /** The endpoints that announce to one entry. */
  record WholeList(ImmutableList<EndpointRecord> endpoints) implements PeerMessage {}

  @Override
  public AnnounceDecision announce(EndpointAnnouncement announcement, Instant now) {
    return new AnnounceDecision.Answer(announceHere(announcement, now));
  }

  @Override
  public AnnounceReply announceHere(EndpointAnnouncement announcement, Instant now) {
    EndpointRecord endpoint = announcement.endpoint();
    direct.put(endpoint.id(), new Heard(endpoint, now.plus(LEASE)));
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
    forget(endpoint.id());
    tellAll(new EndpointLeft(endpoint.id(), endpoint.incarnation()));
  }

  @Override
  public void onMessage(ProcessId from, PeerMessage message, Instant now) {
    if (message instanceof WholeList list) {
      list.endpoints()
          .forEach(endpoint -> told.put(endpoint.id(), new Heard(endpoint, now.plus(LEASE))));
    } else if (message instanceof EndpointLeft left) {
      forget(left.endpoint());
    }
  }

  @Override
  public void tick(Instant now) {
    direct.values().removeIf(heard -> !heard.end().isAfter(now));
    told.values().removeIf(heard -> !heard.end().isAfter(now));
    if (!now.isBefore(nextListAt)) {
      nextListAt = now.plus(INTERVAL);
      tellAll(
          new WholeList(
              direct.values().stream()
                  .map(Heard::endpoint)
                  .collect(ImmutableList.toImmutableList())));
    }
  }

  @Override
  public void askOnArrival(Instant now) {
    // The naive way waits for the next lists.
  }

  @Override
  public void beginStop() {
    // The naive way has no word for it.
  }

  @Override
  public MembershipView view(Instant now) {
    Map<EndpointId, EndpointRecord> present = new TreeMap<>();
    told.values().forEach(heard -> putIfValid(heard, now, present));
    direct.values().forEach(heard -> putIfValid(heard, now, present));
    return new MembershipView(0, ImmutableMap.copyOf(present), identity.others());
  }

  @Override
  public ImmutableList<OutgoingMessage> takeMessages() {
    ImmutableList<OutgoingMessage> taken = ImmutableList.copyOf(messages);
    messages.clear();
    return taken;
  }

  private static void putIfValid(
      Heard heard, Instant now, Map<EndpointId, EndpointRecord> present) {
    if (heard.end().isAfter(now)) {
      present.put(heard.endpoint().id(), heard.endpoint());
    }
  }

  private void forget(EndpointId id) {
    direct.remove(id);
    told.remove(id);
  }

  private void tellAll(PeerMessage message) {
    identity.others().forEach(other -> messages.add(new OutgoingMessage(other, message)));
  }
}
