package org.verbenawheel.load;

import io.micronaut.http.HttpMethod;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MutableHttpRequest;
import io.micronaut.http.client.DefaultHttpClientConfiguration;
import io.micronaut.http.client.HttpClient;
import io.micronaut.http.client.HttpClientConfiguration;
import java.net.MalformedURLException;
import java.net.URI;
import java.net.URL;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.verbenawheel.daemon.HttpAnswers;
import org.verbenawheel.request.Body;
import org.verbenawheel.request.IdempotencyKey;
import org.verbenawheel.request.RunVerdict;

/** HTTP client of one entry, or of one endpoint directly. Never retries a request. */
public final class CallerClient implements AutoCloseable {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
  private static final int MAXIMUM_ANSWER_BYTES = 16 * 1024 * 1024;

  private final HttpClient client;

  /**
   * Creates a client; connections are opened when requests need them.
   *
   * @param address the address of the entry or endpoint, as {@code ip:port}
   * @param connections the largest number of open connections
   */
  public CallerClient(String address, int connections) {
    this.client = HttpClient.create(url(address), configuration(connections));
  }

  /**
   * Sends one request.
   *
   * @param request the request
   * @param timeout how long to wait for the whole answer
   * @return the result; never completes with an error: a failure or timeout is a result with {@link
   *     CallerResult#NO_STATUS}
   */
  public CompletableFuture<CallerResult> send(LoadRequest request, Duration timeout) {
    long sentAtNanoseconds = System.nanoTime();
    return HttpAnswers.exchange(client, toHttpRequest(request))
        .timeout(timeout)
        .toFuture()
        .handle((answer, failure) -> toResult(answer, failure, sentAtNanoseconds));
  }

  @Override
  public void close() {
    client.close();
  }

  private static CallerResult toResult(
      HttpResponse<byte[]> answer, Throwable failure, long sentAtNanoseconds) {
    long latencyMicroseconds = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - sentAtNanoseconds);
    if (failure != null || answer == null) {
      String message = failure == null ? "no answer" : failure.toString();
      return new CallerResult(
          CallerResult.NO_STATUS,
          Optional.empty(),
          Optional.empty(),
          Optional.empty(),
          Body.EMPTY,
          message,
          latencyMicroseconds);
    }
    return new CallerResult(
        answer.code(),
        Optional.ofNullable(answer.getHeaders().get(RunVerdict.HEADER)),
        Optional.ofNullable(answer.getHeaders().get("Verbenawheel-Endpoint")),
        Optional.ofNullable(answer.getHeaders().get("Retry-After")),
        answer.getBody().map(Body::copyOf).orElse(Body.EMPTY),
        "",
        latencyMicroseconds);
  }

  private static HttpRequest<byte[]> toHttpRequest(LoadRequest request) {
    MutableHttpRequest<byte[]> http =
        HttpRequest.create(HttpMethod.parse(request.method()), request.path());
    if (request.body().length() > 0) {
      http.body(request.body().toByteArray()).contentType("application/octet-stream");
    }
    request.key().ifPresent(key -> http.header(IdempotencyKey.HEADER, key.value()));
    request
        .deadline()
        .ifPresent(
            deadline ->
                http.header(
                    "Verbenawheel-Deadline-Milliseconds", Long.toString(deadline.toMillis())));
    return http;
  }

  private static HttpClientConfiguration configuration(int connections) {
    DefaultHttpClientConfiguration configuration = new DefaultHttpClientConfiguration();
    configuration.setFollowRedirects(false);
    configuration.setExceptionOnErrorStatus(false);
    configuration.setConnectTimeout(CONNECT_TIMEOUT);
    configuration.setReadTimeout(null);
    configuration.setMaxContentLength(MAXIMUM_ANSWER_BYTES);
    configuration.setNumOfThreads(1);
    configuration.getConnectionPoolConfiguration().setMaxConcurrentHttp1Connections(connections);
    return configuration;
  }

  private static URL url(String address) {
    try {
      return URI.create("http://" + address).toURL();
    } catch (MalformedURLException malformed) {
      throw new IllegalArgumentException("not an ip:port address: " + address, malformed);
    }
  }
}
