package org.verbenawheel.fake;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableList;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.client.HttpClient;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.verbenawheel.codec.MessageCodec;
import org.verbenawheel.membership.AnnounceReply;
import org.verbenawheel.membership.AnnounceStatus;
import org.verbenawheel.membership.EndpointAnnouncement;
import org.verbenawheel.membership.EndpointRecord;
import org.verbenawheel.membership.LeaseToken;
import reactor.core.publisher.Mono;

/**
 * Announces one endpoint and renews its lease over HTTP. Sends to the home entry named by the last
 * reply, or, if that entry did not answer, to the next entry of the list, as the platform's
 * balancer would choose one.
 */
public final class AnnouncingEndpoint implements AutoCloseable {
  private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(300);
  private static final long WANTED_LEASE_MILLISECONDS = 10_000;
  private static final long RETRY_MILLISECONDS = 10;
  private static final ObjectMapper JSON = MessageCodec.jsonMapper();

  private final EndpointRecord endpoint;
  private final ImmutableList<String> entries;
  private final HttpClient client;
  private final ScheduledExecutorService renewals =
      Executors.newSingleThreadScheduledExecutor(AnnouncingEndpoint::newDaemonThread);
  private final AtomicLong sequence = new AtomicLong();
  private volatile Optional<String> home = Optional.empty();
  private Optional<LeaseToken> token = Optional.empty();
  private volatile int nextEntry;
  private volatile boolean granted;

  /**
   * Starts to announce an endpoint from a thread of its own.
   *
   * @param endpoint the record to announce
   * @param entries the addresses of the entries, as {@code ip:port}
   * @param client a client without a fixed address; not closed by this object
   */
  public AnnouncingEndpoint(
      EndpointRecord endpoint, ImmutableList<String> entries, HttpClient client) {
    this.endpoint = endpoint;
    this.entries = entries;
    this.client = client;
    this.nextEntry = Math.floorMod(endpoint.id().hashCode(), entries.size());
    renewals.execute(this::announce);
  }

  /** Returns whether an entry has ever granted a lease to this endpoint. */
  public boolean granted() {
    return granted;
  }

  /**
   * Stops announcing and reports the endpoint's departure to one entry.
   *
   * @return the address of that entry, which may not have answered
   */
  public String leave() {
    renewals.shutdownNow();
    String departure =
        "{\"endpoint\":\"" + endpoint.id() + "\",\"incarnation\":" + endpoint.incarnation() + "}";
    String target = home.orElse(entries.get(nextEntry));
    Optional<byte[]> unused = post(target, "/membership/departures", departure);
    return target;
  }

  /** Stops announcing without reporting a departure, as a crashed endpoint does. */
  @Override
  public void close() {
    renewals.shutdownNow();
  }

  private void announce() {
    long delayMilliseconds = RETRY_MILLISECONDS;
    try {
      delayMilliseconds = announceOnce();
    } catch (IOException malformedReply) {
      home = Optional.empty();
    } finally {
      scheduleNext(delayMilliseconds);
    }
  }

  private void scheduleNext(long delayMilliseconds) {
    if (!renewals.isShutdown()) {
      var unused = renewals.schedule(this::announce, delayMilliseconds, TimeUnit.MILLISECONDS);
    }
  }

  /** Sends one announcement and returns the delay before the next one, in milliseconds. */
  private long announceOnce() throws IOException {
    EndpointAnnouncement announcement =
        new EndpointAnnouncement(
            endpoint, sequence.incrementAndGet(), WANTED_LEASE_MILLISECONDS, token);
    Optional<byte[]> answer =
        post(home.orElse(entries.get(nextEntry)), "/membership/announcements", json(announcement));
    if (answer.isEmpty()) {
      home = Optional.empty();
      nextEntry = (nextEntry + 1) % entries.size();
      return RETRY_MILLISECONDS;
    }
    AnnounceReply reply = JSON.readValue(answer.get(), AnnounceReply.class);
    home = reply.homeAddress();
    token = reply.token();
    granted = granted || reply.status() == AnnounceStatus.GRANTED;
    return reply.renewAfterMilliseconds();
  }

  private Optional<byte[]> post(String address, String path, String body) {
    HttpRequest<String> request = HttpRequest.POST("http://" + address + path, body);
    return Mono.from(client.retrieve(request, byte[].class))
        .timeout(REQUEST_TIMEOUT)
        .onErrorResume(failure -> Mono.empty())
        .blockOptional();
  }

  private static String json(EndpointAnnouncement announcement) throws JsonProcessingException {
    return JSON.writeValueAsString(announcement);
  }

  private static Thread newDaemonThread(Runnable task) {
    Thread thread = new Thread(task, "renewals");
    thread.setDaemon(true);
    return thread;
  }
}
