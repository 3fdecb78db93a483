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

/** The naive membership: each entry sends the whole list of its endpoints on a timer. */
final class WholeListNode implements EntryNode {
  static final MessageKinds KINDS = MessageKinds.builder().add(1000, WholeList.class).build();

  private static final long INTERVAL_MILLISECONDS = 200;
  private static final long LEASE_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(1200);
  private static final long RENEW_AFTER_MILLISECONDS = 400;

  private final ProcessId self;
  private final ImmutableSet<ProcessId> entries;
  private final PeerLinks links;
  private final Map<EndpointId, Heard> own = new ConcurrentHashMap<>();
  private final Map<EndpointId, Heard> told = new ConcurrentHashMap<>();
  private final ScheduledExecutorService timer =
      Executors.newSingleThreadScheduledExecutor(
          new ThreadFactoryBuilder().setNameFormat("whole-list").setDaemon(true).build());

  WholeListNode(ProcessId self, ImmutableSet<ProcessId> entries, PeerLinks links) {
    this.self = self;
    this.entries = entries;
    this.links = links;
  }

  /** The endpoints that announce to one entry. */
  record WholeList(ImmutableList<EndpointRecord> endpoints) implements PeerMessage {}

  private record Heard(EndpointRecord endpoint, long atNanoseconds) {}

  @Override
  public void start() {
    var unused =
        timer.scheduleAtFixedRate(this::tell, 0, INTERVAL_MILLISECONDS, TimeUnit.MILLISECONDS);
  }

  @Override
  public void stop() {
    timer.shutdownNow();
  }

  @Override
  public AnnounceReply announce(EndpointAnnouncement announcement) {
    EndpointRecord endpoint = announcement.endpoint();
    own.put(endpoint.id(), new Heard(endpoint, System.nanoTime()));
    return new AnnounceReply(
        AnnounceStatus.GRANTED,
        self,
        Optional.empty(),
        Optional.empty(),
        TimeUnit.NANOSECONDS.toMillis(LEASE_NANOSECONDS),
        RENEW_AFTER_MILLISECONDS);
  }

  @Override
  public int endpointsSeen() {
    return own.size() + told.size();
  }

  @Override
  public void onMessage(ProcessId from, PeerMessage message) {
    if (message instanceof WholeList list) {
      list.endpoints()
          .forEach(endpoint -> told.put(endpoint.id(), new Heard(endpoint, System.nanoTime())));
    }
  }

  @Override
  public Optional<CompletableFuture<PeerMessage>> onRequest(ProcessId from, PeerMessage message) {
    return Optional.empty();
  }

  private void tell() {
    own.values().removeIf(WholeListNode::ended);
    told.values().removeIf(WholeListNode::ended);
    WholeList list =
        new WholeList(
            own.values().stream().map(Heard::endpoint).collect(ImmutableList.toImmutableList()));
    entries.stream().filter(entry -> !entry.equals(self)).forEach(entry -> links.send(entry, list));
  }

  private static boolean ended(Heard heard) {
    return System.nanoTime() - heard.atNanoseconds() > LEASE_NANOSECONDS;
  }
}
