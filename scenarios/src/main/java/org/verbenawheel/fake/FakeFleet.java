package org.verbenawheel.fake;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import io.micronaut.http.client.DefaultHttpClientConfiguration;
import io.micronaut.http.client.HttpClient;
import java.io.IOException;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import org.verbenawheel.identity.AvailabilityZone;
import org.verbenawheel.identity.EndpointId;
import org.verbenawheel.identity.HostName;
import org.verbenawheel.identity.Rack;
import org.verbenawheel.identity.ServiceName;
import org.verbenawheel.membership.EndpointRecord;

/**
 * Runs the fake endpoints of several services in one process and announces them to the entries,
 * each as if on a host of its own.
 */
public final class FakeFleet implements AutoCloseable {
  private static final int SLOTS = 8;
  private static final int CONNECTIONS = 64;
  private static final int HOSTS_IN_A_RACK = 4;
  private static final Duration READ_TIMEOUT = Duration.ofSeconds(1);

  private final ImmutableList<String> entries;
  private final ImmutableList<AvailabilityZone> availabilityZones;
  private final HttpClient client = newClient();
  private final long incarnation = InstantSource.system().instant().toEpochMilli();
  private final List<FakeEndpoint> endpoints = new ArrayList<>();
  private final List<AnnouncingEndpoint> announcers = new ArrayList<>();

  /**
   * Creates a fleet without endpoints; {@link #add} starts them.
   *
   * @param entries the addresses of the entries, as {@code ip:port}
   * @param availabilityZones the availability zones of the hosts, assigned round robin
   */
  public FakeFleet(
      ImmutableList<String> entries, ImmutableList<AvailabilityZone> availabilityZones) {
    this.entries = entries;
    this.availabilityZones = availabilityZones;
  }

  /**
   * Starts and announces the endpoints of one service.
   *
   * @param count the number of endpoints
   * @throws IOException if no port is free
   */
  public void add(ServiceName service, int count) throws IOException {
    for (int number = 1; number <= count; number++) {
      FakeEndpoint endpoint = new FakeEndpoint(service + "-" + number, 0);
      endpoints.add(endpoint);
      announcers.add(
          new AnnouncingEndpoint(record(service, number, endpoint.address()), entries, client));
    }
  }

  /** Returns the endpoints in the order of adding. */
  public ImmutableList<FakeEndpoint> endpoints() {
    return ImmutableList.copyOf(endpoints);
  }

  /**
   * Closes an endpoint without reporting its departure; later connections to it are refused.
   *
   * @param number the endpoint, from 1 in the order of adding
   */
  public void kill(int number) {
    announcers.get(number - 1).close();
    endpoints.get(number - 1).close();
  }

  /**
   * Reports the departure of an endpoint, which keeps answering requests.
   *
   * @param number the endpoint, from 1 in the order of adding
   * @return the address of the entry that the departure was sent to
   */
  public String leave(int number) {
    return announcers.get(number - 1).leave();
  }

  /** Returns whether every endpoint has been granted a lease. */
  public boolean allLeasesGranted() {
    return announcers.stream().allMatch(AnnouncingEndpoint::granted);
  }

  @Override
  public void close() {
    announcers.forEach(AnnouncingEndpoint::leave);
    endpoints.forEach(FakeEndpoint::close);
    client.close();
  }

  private EndpointRecord record(ServiceName service, int number, String address) {
    AvailabilityZone availabilityZone =
        availabilityZones.get((number - 1) % availabilityZones.size());
    String host = service + "-host-" + number;
    return new EndpointRecord(
        new EndpointId(service + "-" + number),
        service,
        new HostName(host),
        new Rack(availabilityZone + "-rack-" + (number - 1) / HOSTS_IN_A_RACK),
        availabilityZone,
        address,
        SLOTS,
        CONNECTIONS,
        incarnation);
  }

  private static HttpClient newClient() {
    DefaultHttpClientConfiguration configuration = new DefaultHttpClientConfiguration();
    configuration.setReadTimeout(READ_TIMEOUT);
    configuration.setNumOfThreads(1);
    return HttpClient.create(null, configuration);
  }

  /**
   * Runs a fleet until the process receives a termination signal.
   *
   * @param arguments the entries' addresses and the availability zones, each separated by commas,
   *     then {@code <service>=<count>} for each service
   * @throws IOException if no port is free
   */
  public static void main(String[] arguments) throws IOException {
    Splitter commas = Splitter.on(',');
    FakeFleet fleet =
        new FakeFleet(
            ImmutableList.copyOf(commas.split(arguments[0])),
            commas
                .splitToStream(arguments[1])
                .map(AvailabilityZone::new)
                .collect(ImmutableList.toImmutableList()));
    for (int argument = 2; argument < arguments.length; argument++) {
      List<String> service = Splitter.on('=').splitToList(arguments[argument]);
      fleet.add(new ServiceName(service.get(0)), Integer.parseInt(service.get(1)));
    }
    Runtime.getRuntime().addShutdownHook(new Thread(fleet::close, "stop"));
    fleet.awaitStop();
  }

  private synchronized void awaitStop() {
    try {
      while (true) {
        wait();
      }
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}
