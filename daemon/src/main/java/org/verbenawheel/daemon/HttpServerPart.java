package org.verbenawheel.daemon;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.net.HostAndPort;
import io.micronaut.context.ApplicationContext;
import io.micronaut.runtime.server.EmbeddedServer;
import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.verbenawheel.supervision.FailureListener;
import org.verbenawheel.supervision.PartFailedException;
import org.verbenawheel.supervision.SupervisedPart;

/** Serves a daemon's HTTP interfaces with Micronaut on one or several addresses. */
public final class HttpServerPart implements SupervisedPart {
  private final HostAndPort address;
  private final int maximumBodyBytes;
  private final ImmutableMap<String, String> additionalAddresses;
  private final ImmutableList<Object> singletons;
  private @Nullable ApplicationContext context;

  /**
   * Creates a server for one address; {@link #start} binds it.
   *
   * @param address the address to listen on, as {@code ip:port}
   * @param maximumBodyBytes the largest request body accepted
   * @param singletons the beans to inject into controllers and filters; a controller or filter that
   *     requires an absent bean is not active
   */
  public HttpServerPart(String address, int maximumBodyBytes, ImmutableList<Object> singletons) {
    this(address, ImmutableMap.of(), maximumBodyBytes, singletons);
  }

  /**
   * Creates a server for several addresses; {@link #start} binds them.
   *
   * @param address the first address to listen on, as {@code ip:port}
   * @param additionalAddresses the other addresses, by listener name
   * @param maximumBodyBytes the largest request body accepted
   * @param singletons the beans to inject into controllers and filters; a controller or filter that
   *     requires an absent bean is not active
   */
  public HttpServerPart(
      String address,
      ImmutableMap<String, String> additionalAddresses,
      int maximumBodyBytes,
      ImmutableList<Object> singletons) {
    this.address = HostAndPort.fromString(address);
    this.additionalAddresses = additionalAddresses;
    this.maximumBodyBytes = maximumBodyBytes;
    this.singletons = singletons;
  }

  @Override
  public String name() {
    return "http-server";
  }

  @Override
  public void start(FailureListener failures) throws PartFailedException {
    ApplicationContext newContext =
        ApplicationContext.builder()
            .banner(false)
            .deduceEnvironment(false)
            .enableDefaultPropertySources(false)
            .properties(properties())
            .singletons(singletons.toArray())
            .build();
    try {
      newContext.start();
      newContext.getBean(EmbeddedServer.class).start();
    } catch (RuntimeException failed) {
      newContext.stop();
      throw new PartFailedException(
          "cannot serve HTTP on " + address + ": is another process using the port?", failed);
    }
    context = newContext;
  }

  @Override
  public void stop(Duration grace) {
    if (context != null) {
      context.stop();
      context = null;
    }
  }

  private ImmutableMap<String, Object> properties() {
    ImmutableMap.Builder<String, Object> properties = ImmutableMap.builder();
    if (!additionalAddresses.isEmpty()) {
      addListener(properties, "first", address);
      additionalAddresses.forEach(
          (name, additionalAddress) ->
              addListener(properties, name, HostAndPort.fromString(additionalAddress)));
    }
    return properties
        .put("micronaut.application.name", "verbenawheel")
        .put("micronaut.server.host", address.getHost())
        .put("micronaut.server.port", address.getPort())
        .put("micronaut.server.max-request-size", maximumBodyBytes)
        .put("micronaut.server.netty.max-request-buffer-size", maximumBodyBytes)
        .put("micronaut.server.thread-selection", "MANUAL")
        .put("micronaut.server.idle-timeout", "60s")
        .put("micronaut.server.netty.keep-alive-on-server-error", true)
        .put("micronaut.netty.event-loops.default.num-threads", 2)
        .put("netty.default.allocator.max-order", 3)
        .build();
  }

  private static void addListener(
      ImmutableMap.Builder<String, Object> properties, String name, HostAndPort listenAddress) {
    String prefix = "micronaut.server.netty.listeners." + name;
    properties
        .put(prefix + ".host", listenAddress.getHost())
        .put(prefix + ".port", listenAddress.getPort());
  }
}
