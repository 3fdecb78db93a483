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

/** Announces itself as an endpoint does: to its home entry, and to any other if that fails. */
final class FakeEndpoint {
  private static final Duration RETRY = Duration.ofMillis(250);

  private final FakeEntries entries;
  private final Random random;
  private EndpointRecord endpoint;
  private Optional<ProcessId> home = Optional.empty();
  private Optional<LeaseToken> token = Optional.empty();
  private Instant nextAt;
  private long sequence;
  private boolean announces = true;
  AnnounceStatus lastStatus = AnnounceStatus.FULL;

  FakeEndpoint(FakeEntries entries, int number, long seed) {
    this.entries = entries;
    this.random = new Random(seed * 31 + number);
    this.endpoint = record(number, 1);
    this.nextAt = entries.now();
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

  boolean announces() {
    return announces;
  }

  /** Returns the announcement it would make now. */
  EndpointAnnouncement nextAnnouncement() {
    sequence++;
    return new EndpointAnnouncement(endpoint, sequence, Long.MAX_VALUE, token);
  }

  /** Stops announcing, as a process that leaves or dies. */
  void silence() {
    announces = false;
  }

  /** Starts again as a new process. */
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
    announces = true;
    nextAt = entries.now();
  }

  /** Announces if it is time. */
  void step() {
    if (!announces || entries.now().isBefore(nextAt)) {
      return;
    }
    ProcessId target = home.orElseGet(this::anyEntry);
    Optional<AnnounceReply> reply = entries.announce(target, nextAnnouncement());
    if (reply.isEmpty()) {
      home = Optional.empty();
      nextAt = entries.now().plus(RETRY);
      return;
    }
    take(reply.get());
  }

  private void take(AnnounceReply reply) {
    lastStatus = reply.status();
    home = Optional.of(reply.home());
    token = reply.token();
    nextAt = entries.now().plusMillis(reply.renewAfterMilliseconds());
  }

  private ProcessId anyEntry() {
    List<ProcessId> running = entries.names().stream().filter(entries::runs).toList();
    return running.get(random.nextInt(running.size()));
  }
}
