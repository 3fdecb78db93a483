package org.verbenawheel.command;

import com.google.common.base.Throwables;
import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import io.micronaut.core.type.Argument;
import io.micronaut.http.HttpMethod;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MediaType;
import io.micronaut.http.MutableHttpRequest;
import io.micronaut.http.client.DefaultHttpClientConfiguration;
import io.micronaut.http.client.HttpClient;
import io.micronaut.http.client.HttpClientConfiguration;
import io.micronaut.http.client.exceptions.HttpClientException;
import io.micronaut.http.client.exceptions.HttpClientResponseException;
import java.net.ConnectException;
import java.net.MalformedURLException;
import java.net.NoRouteToHostException;
import java.net.URI;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.verbenawheel.time.MonotonicInstantSource;

/**
 * Sends HTTP requests to the control processes in order, and repeats the list until one accepts the
 * call or the timeout passes. Blocks the calling thread. Not thread-safe.
 */
final class ControlHttpClient implements AutoCloseable {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(5);
  private static final Argument<String> TEXT = Argument.of(String.class);
  private static final long RETRY_INTERVAL_MILLISECONDS = 200;
  private static final int MAXIMUM_RESPONSE_BYTES = 64 << 20;

  private final ImmutableList<HostAndPort> controlAddresses;
  private final Optional<String> token;
  private final Duration timeout;
  private final InstantSource clock = MonotonicInstantSource.startingNow();
  private final Map<HostAndPort, HttpClient> clients = new HashMap<>();

  ControlHttpClient(ImmutableList<HostAndPort> controls, Optional<String> token, Duration timeout) {
    this.controlAddresses = controls;
    this.token = token;
    this.timeout = timeout;
  }

  /** Returns the addresses of the control processes, in the order in which they are called. */
  ImmutableList<HostAndPort> controlAddresses() {
    return controlAddresses;
  }

  /**
   * Sends a GET request and returns the response body.
   *
   * @param path the path
   * @throws CommandFailedException if the call was refused or no process answered in time
   */
  String read(String path) throws CommandFailedException {
    return call(HttpMethod.GET, path, Optional.empty());
  }

  /**
   * Sends a command and returns the response body.
   *
   * @param method PUT or POST
   * @param path the path
   * @param body the JSON body with the command's identity, which makes repeated sends safe
   * @throws CommandFailedException if the command was refused or no process accepted it in time
   */
  String command(HttpMethod method, String path, String body) throws CommandFailedException {
    return call(method, path, Optional.of(body));
  }

  private String call(HttpMethod method, String path, Optional<String> body)
      throws CommandFailedException {
    CallDecision decision = new CallDecision();
    Instant end = clock.instant().plus(timeout);
    do {
      for (HostAndPort control : controlAddresses) {
        CallResult result = exchange(control, method, path, body);
        Optional<String> answer = decision.onResult(control, result);
        if (answer.isPresent()) {
          return answer.get();
        }
      }
    } while (pauseBefore(end));
    throw decision.timeoutFailure(body.isPresent());
  }

  /**
   * Sleeps for the retry interval. Returns false if {@code end} has then passed or the thread was
   * interrupted.
   */
  private boolean pauseBefore(Instant end) {
    try {
      TimeUnit.MILLISECONDS.sleep(RETRY_INTERVAL_MILLISECONDS);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return false;
    }
    return clock.instant().isBefore(end);
  }

  /**
   * Sends one request to one process, without a retry.
   *
   * @param address the HTTP address of the process
   * @param method the method
   * @param path the path
   * @param body the JSON body of a command; empty for a read
   */
  CallResult exchange(HostAndPort address, HttpMethod method, String path, Optional<String> body) {
    MutableHttpRequest<String> request =
        HttpRequest.<String>create(method, path).accept(MediaType.ALL);
    token.ifPresent(request::bearerAuth);
    body.ifPresent(text -> request.contentType(MediaType.APPLICATION_JSON_TYPE).body(text));
    try {
      return toAnswered(client(address).toBlocking().exchange(request, TEXT, TEXT));
    } catch (HttpClientResponseException refused) {
      return toAnswered(refused.getResponse());
    } catch (HttpClientException failure) {
      return toFailedResult(failure);
    }
  }

  private static CallResult toAnswered(HttpResponse<?> response) {
    return new CallResult.Answered(response.code(), response.getBody(TEXT).orElse(""));
  }

  private static CallResult toFailedResult(HttpClientException failure) {
    Throwable root = Throwables.getRootCause(failure);
    String reason = String.valueOf(root.getMessage());
    boolean notConnected =
        Throwables.getCausalChain(failure).stream()
            .anyMatch(
                cause ->
                    cause instanceof ConnectException || cause instanceof NoRouteToHostException);
    return notConnected ? new CallResult.NotConnected(reason) : new CallResult.NoAnswer(reason);
  }

  private HttpClient client(HostAndPort address) {
    return clients.computeIfAbsent(address, ControlHttpClient::open);
  }

  private static HttpClient open(HostAndPort address) {
    HttpClientConfiguration configuration = new DefaultHttpClientConfiguration();
    configuration.setExceptionOnErrorStatus(false);
    configuration.setFollowRedirects(false);
    configuration.setConnectTimeout(CONNECT_TIMEOUT);
    configuration.setReadTimeout(RESPONSE_TIMEOUT);
    configuration.setMaxContentLength(MAXIMUM_RESPONSE_BYTES);
    try {
      return HttpClient.create(URI.create("http://" + address).toURL(), configuration);
    } catch (MalformedURLException impossible) {
      throw new IllegalArgumentException("not an address: " + address, impossible);
    }
  }

  @Override
  public void close() {
    clients.values().forEach(HttpClient::close);
  }
}
