package org.verbenawheel.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.verbenawheel.identity.AvailabilityZone;
import org.verbenawheel.identity.EndpointId;
import org.verbenawheel.identity.HostName;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.identity.Rack;
import org.verbenawheel.identity.ServiceName;

/** Announces itself like an endpoint: to its home entry, or to any other entry if that fails. */
final class FakeEndpoint {
  private static final Duration RETRY = Duration.ofMillis(250);

  private final FakeEntries entries;
  private final Random random;
  private EndpointRecord endpoint;
  private Optional<ProcessId> home = Optional.empty();
  private Optional<LeaseToken> token = Optional.empty();
  private Instant nextAnnouncementAt;
  private long sequence;
  private boolean isAnnouncing = true;
  AnnounceStatus lastStatus = AnnounceStatus.FULL;

  FakeEndpoint(FakeEntries entries, int number, long seed) {
    this.entries = entries;
    this.random = new Random(seed * 31 + number);
    this.endpoint = record(number, 1);
    this.nextAnnouncementAt = entries.now();
  }

  static EndpointRecord record(int number, long incarnation) {
    return new EndpointRecord(
        new EndpointId("hobart-desk-" + number),
        new ServiceName("hobart-desk"),
        new HostName("host-" + number),
        new Rack("rack-" + number / 4),
        new AvailabilityZone("tamar"),
        "10.0.0." + number + ":8080",
        8,
        64,
        incarnation);
  }

  EndpointRecord endpoint() {
    return endpoint;
  }

  EndpointId id() {
    return endpoint.id();
  }

  Optional<ProcessId> home() {
    return home;
  }

  boolean isAnnouncing() {
    return isAnnouncing;
  }

  /** Returns the next announcement, without sending it. */
  EndpointAnnouncement nextAnnouncement() {
    sequence++;
    return new EndpointAnnouncement(endpoint, sequence, Long.MAX_VALUE, token);
  }

  /** Stops the announcements, like a process that leaves or dies. */
  void stopAnnouncing() {
    isAnnouncing = false;
  }

  /** Restarts as a new process with the next incarnation. */
  void restart() {
    endpoint =
        new EndpointRecord(
            endpoint.id(),
            endpoint.service(),
            endpoint.host(),
            endpoint.rack(),
            endpoint.availabilityZone(),
            endpoint.address(),
            endpoint.slots(),
            endpoint.connections(),
            endpoint.incarnation() + 1);
    sequence = 0;
    token = Optional.empty();
    home = Optional.empty();
    isAnnouncing = true;
    nextAnnouncementAt = entries.now();
  }

  /** Sends an announcement if one is due. */
  void step() {
    if (!isAnnouncing || entries.now().isBefore(nextAnnouncementAt)) {
      return;
    }
    ProcessId target = home.orElseGet(this::anyEntry);
    Optional<AnnounceReply> reply = entries.announce(target, nextAnnouncement());
    if (reply.isEmpty()) {
      home = Optional.empty();
      nextAnnouncementAt = entries.now().plus(RETRY);
      return;
    }
    handleReply(reply.get());
  }

  private void handleReply(AnnounceReply reply) {
    lastStatus = reply.status();
    home = Optional.of(reply.home());
    token = reply.token();
    nextAnnouncementAt = entries.now().plusMillis(reply.renewAfterMilliseconds());
  }

  private ProcessId anyEntry() {
    List<ProcessId> running = entries.names().stream().filter(entries::isRunning).toList();
    return running.get(random.nextInt(running.size()));
  }
}
