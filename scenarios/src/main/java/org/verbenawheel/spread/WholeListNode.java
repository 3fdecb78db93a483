package org.verbenawheel.spread;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.util.concurrent.ThreadFactoryBuilder;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.verbenawheel.identity.EndpointId;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.membership.AnnounceReply;
import org.verbenawheel.membership.AnnounceStatus;
import org.verbenawheel.membership.EndpointAnnouncement;
import org.verbenawheel.membership.EndpointRecord;
import org.verbenawheel.peer.MessageKinds;
import org.verbenawheel.peer.PeerLinks;
import org.verbenawheel.peer.PeerMessage;

/** Naive membership protocol: each entry sends the whole list of its endpoints on a timer. */
final class WholeListNode implements EntryNode {
  static final MessageKinds KINDS = MessageKinds.builder().add(1000, WholeList.class).build();

  private static final long INTERVAL_MILLISECONDS = 200;
  private static final long LEASE_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(1200);
  private static final long RENEW_AFTER_MILLISECONDS = 400;

  private final ProcessId self;
  private final ImmutableSet<ProcessId> entries;
  private final PeerLinks links;
  private final Map<EndpointId, ReceivedRecord> ownEndpoints = new ConcurrentHashMap<>();
  private final Map<EndpointId, ReceivedRecord> remoteEndpoints = new ConcurrentHashMap<>();
  private final ScheduledExecutorService timer =
      Executors.newSingleThreadScheduledExecutor(
          new ThreadFactoryBuilder().setNameFormat("whole-list").setDaemon(true).build());

  WholeListNode(ProcessId self, ImmutableSet<ProcessId> entries, PeerLinks links) {
    this.self = self;
    this.entries = entries;
    this.links = links;
  }

  /** Message with all endpoints that hold a lease from the sending entry. */
  record WholeList(ImmutableList<EndpointRecord> endpoints) implements PeerMessage {}

  private record ReceivedRecord(EndpointRecord endpoint, long atNanoseconds) {}

  @Override
  public void start() {
    var unused =
        timer.scheduleAtFixedRate(this::broadcast, 0, INTERVAL_MILLISECONDS, TimeUnit.MILLISECONDS);
  }

  @Override
  public void stop() {
    timer.shutdownNow();
  }

  @Override
  public AnnounceReply announce(EndpointAnnouncement announcement) {
    EndpointRecord endpoint = announcement.endpoint();
    ownEndpoints.put(endpoint.id(), new ReceivedRecord(endpoint, System.nanoTime()));
    return new AnnounceReply(
        AnnounceStatus.GRANTED,
        self,
        Optional.empty(),
        Optional.empty(),
        TimeUnit.NANOSECONDS.toMillis(LEASE_NANOSECONDS),
        RENEW_AFTER_MILLISECONDS);
  }

  @Override
  public int routableEndpoints() {
    return ownEndpoints.size() + remoteEndpoints.size();
  }

  @Override
  public void onMessage(ProcessId from, PeerMessage message) {
    if (message instanceof WholeList list) {
      list.endpoints()
          .forEach(
              endpoint ->
                  remoteEndpoints.put(
                      endpoint.id(), new ReceivedRecord(endpoint, System.nanoTime())));
    }
  }

  @Override
  public Optional<CompletableFuture<PeerMessage>> onRequest(ProcessId from, PeerMessage message) {
    return Optional.empty();
  }

  private void broadcast() {
    ownEndpoints.values().removeIf(WholeListNode::isExpired);
    remoteEndpoints.values().removeIf(WholeListNode::isExpired);
    WholeList list =
        new WholeList(
            ownEndpoints.values().stream()
                .map(ReceivedRecord::endpoint)
                .collect(ImmutableList.toImmutableList()));
    entries.stream().filter(entry -> !entry.equals(self)).forEach(entry -> links.send(entry, list));
  }

  private static boolean isExpired(ReceivedRecord received) {
    return System.nanoTime() - received.atNanoseconds() > LEASE_NANOSECONDS;
  }
}
