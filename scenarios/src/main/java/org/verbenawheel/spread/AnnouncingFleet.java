package org.verbenawheel.spread;

import com.google.common.util.concurrent.ThreadFactoryBuilder;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.verbenawheel.identity.AvailabilityZone;
import org.verbenawheel.identity.EndpointId;
import org.verbenawheel.identity.HostName;
import org.verbenawheel.identity.Rack;
import org.verbenawheel.identity.ServiceName;
import org.verbenawheel.membership.AnnounceReply;
import org.verbenawheel.membership.EndpointAnnouncement;
import org.verbenawheel.membership.EndpointRecord;
import org.verbenawheel.membership.LeaseToken;

/** Simulates endpoints that announce themselves to a cluster by method calls, without HTTP. */
final class AnnouncingFleet implements AutoCloseable {
  private static final int HOSTS_PER_RACK = 4;
  private static final long WANTED_LEASE_MILLISECONDS = 10_000;
  private static final long RETRY_MILLISECONDS = 200;

  private final EntryCluster cluster;
  private final LongAdder announcements = new LongAdder();
  private final ScheduledExecutorService timer =
      Executors.newSingleThreadScheduledExecutor(
          new ThreadFactoryBuilder().setNameFormat("fleet").setDaemon(true).build());

  AnnouncingFleet(EntryCluster cluster, int size) {
    this.cluster = cluster;
    for (int number = 0; number < size; number++) {
      Announcer announcer = new Announcer(number);
      timer.execute(announcer::announce);
    }
  }

  /** Returns the number of answered announcements. */
  long announcements() {
    return announcements.sum();
  }

  @Override
  public void close() {
    timer.shutdownNow();
  }

  private final class Announcer {
    private final EndpointRecord endpoint;
    private int entry;
    private long sequence;
    private Optional<LeaseToken> token = Optional.empty();

    Announcer(int number) {
      this.endpoint =
          new EndpointRecord(
              new EndpointId("launceston-foundry-" + number),
              new ServiceName("launceston-foundry"),
              new HostName("host-" + number),
              new Rack("rack-" + number / HOSTS_PER_RACK),
              new AvailabilityZone("midlands"),
              "10.0." + number / 250 + "." + number % 250 + ":8080",
              8,
              64,
              1);
      this.entry = number % EntryCluster.ENTRIES;
    }

    void announce() {
      long delayMilliseconds = RETRY_MILLISECONDS;
      try {
        sequence++;
        AnnounceReply reply =
            cluster
                .node(entry)
                .announce(
                    new EndpointAnnouncement(endpoint, sequence, WANTED_LEASE_MILLISECONDS, token));
        announcements.increment();
        entry = cluster.indexOf(reply.home());
        token = reply.token();
        delayMilliseconds = reply.renewAfterMilliseconds();
      } finally {
        var unused = timer.schedule(this::announce, delayMilliseconds, TimeUnit.MILLISECONDS);
      }
    }
  }
}
