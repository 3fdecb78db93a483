package org.verbenawheel.entry;

import com.google.common.flogger.FluentLogger;
import io.micronaut.context.ApplicationContext;
import io.micronaut.http.client.DefaultHttpClientConfiguration;
import io.micronaut.http.client.HttpClient;
import io.micronaut.http.client.HttpClientConfiguration;
import io.micronaut.http.client.LoadBalancer;
import java.net.URI;
import java.time.Duration;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.verbenawheel.event.Event;
import org.verbenawheel.event.EventLine;
import org.verbenawheel.supervision.FailureListener;
import org.verbenawheel.supervision.SupervisedPart;
import reactor.core.publisher.Hooks;

/**
 * Makes HTTP clients that share the entry's event loops, one for each endpoint.
 *
 * <p>A client never sends a request twice, follows no redirect and changes no body.
 */
final class EndpointHttpClients implements SupervisedPart {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int EVENT_LOOP_THREADS = 2;

  private final EndpointConnectionLimits limits;
  private @Nullable ApplicationContext context;

  EndpointHttpClients(EndpointConnectionLimits limits) {
    this.limits = limits;
  }

  @Override
  public String name() {
    return "endpoint-clients";
  }

  @Override
  public synchronized void start(FailureListener failures) {
    Hooks.onErrorDropped(EndpointHttpClients::ignoreLateFailure);
    context =
        ApplicationContext.builder()
            .banner(false)
            .deduceEnvironment(false)
            .enableDefaultPropertySources(false)
            .properties(
                Map.of("micronaut.netty.event-loops.default.num-threads", EVENT_LOOP_THREADS))
            .start();
  }

  @Override
  public synchronized void stop(Duration grace) {
    if (context != null) {
      context.stop();
      context = null;
    }
  }

  /** Takes the failure of an exchange that was given up before, whose outcome is decided. */
  private static void ignoreLateFailure(Throwable failure) {
    logger.atFine().withCause(failure).log("%s", EventLine.of(Event.ATTEMPT_FAILED));
  }

  /**
   * Opens a client without connections.
   *
   * @param address the endpoint's address as {@code ip:port}
   * @throws IllegalStateException if this part is not started
   */
  synchronized HttpClient open(String address) {
    if (context == null) {
      throw new IllegalStateException("the entry is stopping");
    }
    return context.createBean(
        HttpClient.class, LoadBalancer.fixed(URI.create("http://" + address)), configuration());
  }

  private HttpClientConfiguration configuration() {
    DefaultHttpClientConfiguration configuration = new DefaultHttpClientConfiguration();
    configuration.setFollowRedirects(false);
    configuration.setExceptionOnErrorStatus(false);
    configuration.setDecompressionEnabled(false);
    configuration.setConnectTimeout(limits.connectTimeout());
    configuration.setReadTimeout(null);
    configuration.setConnectionPoolIdleTimeout(limits.idleLimit());
    configuration.setMaxContentLength(limits.maximumAnswerBytes());
    HttpClientConfiguration.ConnectionPoolConfiguration pool =
        configuration.getConnectionPoolConfiguration();
    pool.setMaxConcurrentHttp1Connections(limits.maximumConnections());
    pool.setMaxPendingConnections(limits.maximumConnections());
    pool.setMaxPendingAcquires(limits.maximumConnections());
    pool.setAcquireTimeout(limits.connectTimeout());
    return configuration;
  }
}
