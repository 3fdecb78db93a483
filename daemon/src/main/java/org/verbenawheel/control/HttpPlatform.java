package org.verbenawheel.control;

import com.google.common.base.Throwables;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.client.DefaultHttpClientConfiguration;
import io.micronaut.http.client.HttpClient;
import io.micronaut.http.client.exceptions.HttpClientResponseException;
import java.net.ConnectException;
import java.net.MalformedURLException;
import java.net.URI;
import java.net.URL;
import java.time.Duration;
import java.time.Instant;
import org.verbenawheel.daemon.Json;
import org.verbenawheel.daemon.MalformedBodyException;
import org.verbenawheel.platform.HostOperation;
import org.verbenawheel.platform.OperationReport;
import org.verbenawheel.platform.Platform;
import org.verbenawheel.platform.PlatformException;
import org.verbenawheel.platform.UsageReport;
import org.verbenawheel.request.RunVerdict;
import reactor.core.publisher.Mono;

/** Calls the platform over the HTTP interface defined in {@code docs/design/platform.md}. */
final class HttpPlatform implements Platform, AutoCloseable {
  private static final Duration TIMEOUT = Duration.ofSeconds(2);
  private static final String OPERATIONS = "/platform/v1/operations/";
  private static final String USAGE_SINCE = "/platform/v1/usage?since=";

  private final HttpClient client;

  /**
   * Creates a client; a connection is opened with the first call.
   *
   * @param address the platform's address as {@code ip:port}
   */
  HttpPlatform(String address) {
    DefaultHttpClientConfiguration configuration = new DefaultHttpClientConfiguration();
    configuration.setFollowRedirects(false);
    configuration.setReadTimeout(TIMEOUT);
    configuration.setNumOfThreads(1);
    this.client = HttpClient.create(url(address), configuration);
  }

  @Override
  public OperationReport perform(HostOperation operation) throws PlatformException {
    HttpRequest<String> request =
        HttpRequest.PUT(OPERATIONS + operation.id().value(), Json.write(operation));
    return exchange(request, OperationReport.class);
  }

  @Override
  public UsageReport usageSince(Instant since) throws PlatformException {
    return exchange(HttpRequest.GET(USAGE_SINCE + since), UsageReport.class);
  }

  @Override
  public void close() {
    client.close();
  }

  private <T> T exchange(HttpRequest<?> request, Class<T> type) throws PlatformException {
    try {
      HttpResponse<byte[]> response =
          Mono.from(client.exchange(request, byte[].class)).block(TIMEOUT.multipliedBy(2));
      if (response == null) {
        throw new PlatformException(RunVerdict.MAY_HAVE_RUN, "the platform sent no response");
      }
      return Json.read(response.getBody().orElse(new byte[0]), type);
    } catch (MalformedBodyException malformed) {
      throw new PlatformException(
          RunVerdict.MAY_HAVE_RUN,
          "the platform's response cannot be read: " + malformed.explanation());
    } catch (RuntimeException failed) {
      throw new PlatformException(verdictOf(failed), "the call to the platform failed: " + failed);
    }
  }

  // Only a refusal with 409 and a failure to connect show that the platform did nothing.
  private static RunVerdict verdictOf(RuntimeException failed) {
    boolean refused =
        failed instanceof HttpClientResponseException response
            && response.code() == HttpStatus.CONFLICT.getCode();
    boolean notConnected =
        Throwables.getCausalChain(failed).stream().anyMatch(ConnectException.class::isInstance);
    return refused || notConnected ? RunVerdict.NOT_RUN : RunVerdict.MAY_HAVE_RUN;
  }

  private static URL url(String address) {
    try {
      return URI.create("http://" + address).toURL();
    } catch (MalformedURLException malformed) {
      throw new IllegalArgumentException("not an ip:port address: " + address, malformed);
    }
  }
}
