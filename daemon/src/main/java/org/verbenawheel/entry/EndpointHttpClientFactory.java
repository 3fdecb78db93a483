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
 * Creates HTTP clients to endpoints. All clients share two event loop threads.
 *
 * <p>A client never retries a request, follows no redirect and passes on bodies without
 * decompressing them.
 */
final class EndpointHttpClientFactory implements SupervisedPart {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int EVENT_LOOP_THREADS = 2;

  private final EndpointConnectionLimits limits;
  private @Nullable ApplicationContext context;

  EndpointHttpClientFactory(EndpointConnectionLimits limits) {
    this.limits = limits;
  }

  @Override
  public String name() {
    return "endpoint-clients";
  }

  @Override
  public synchronized void start(FailureListener failures) {
    Hooks.onErrorDropped(EndpointHttpClientFactory::ignoreLateFailure);
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

  /** Logs the failure of an exchange that was cancelled earlier and already has an outcome. */
  private static void ignoreLateFailure(Throwable failure) {
    logger.atFine().withCause(failure).log("%s", EventLine.of(Event.ATTEMPT_FAILED));
  }

  /**
   * Creates a client; a connection is opened with the first request.
   *
   * @param address the endpoint's address as {@code ip:port}
   * @throws IllegalStateException if this part is not started
   */
  synchronized HttpClient newClient(String address) {
    if (context == null) {
      throw new IllegalStateException("the HTTP clients are stopped: the entry is stopping");
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
