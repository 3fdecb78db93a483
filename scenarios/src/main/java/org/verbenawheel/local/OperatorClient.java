package org.verbenawheel.local;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MutableHttpRequest;
import io.micronaut.http.client.DefaultHttpClientConfiguration;
import io.micronaut.http.client.HttpClient;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.verbenawheel.configuration.Configuration;
import org.verbenawheel.daemon.HttpAnswers;
import org.verbenawheel.daemon.Json;
import reactor.core.publisher.Mono;

/**
 * Client of the control processes' HTTP interface for operators. Sends each call to one control
 * process after the other until one answers as leader.
 */
public final class OperatorClient implements AutoCloseable {
  private static final Duration TIMEOUT = Duration.ofSeconds(5);
  private static final int MISDIRECTED_REQUEST = 421;

  private final ImmutableList<String> controlAddresses;
  private final String token;
  private final HttpClient client;
  private final AtomicLong nextCommand = new AtomicLong();

  OperatorClient(ImmutableList<String> controls, String token) {
    this.controlAddresses = controls;
    this.token = token;
    DefaultHttpClientConfiguration configuration = new DefaultHttpClientConfiguration();
    configuration.setNumOfThreads(1);
    configuration.setExceptionOnErrorStatus(false);
    configuration.setMaxContentLength(1 << 24);
    this.client = HttpClient.create(null, configuration);
  }

  /**
   * Applies a configuration under a new command id.
   *
   * @param expectedVersion the version that must be in force for the command to be accepted
   * @param configuration the configuration
   */
  public Reply applyConfiguration(long expectedVersion, Configuration configuration) {
    return applyConfiguration(
        "command-" + nextCommand.incrementAndGet(), expectedVersion, configuration);
  }

  /**
   * Applies a configuration under the given command id, for example to repeat a command.
   *
   * @param commandId the id of the command
   * @param expectedVersion the version that must be in force for the command to be accepted
   * @param configuration the configuration
   */
  public Reply applyConfiguration(
      String commandId, long expectedVersion, Configuration configuration) {
    String body =
        Json.write(
            ImmutableMap.of(
                "commandId", commandId,
                "expectedVersion", expectedVersion,
                "operator", "scenario",
                "configuration", configuration));
    return sendToLeader(
        address -> HttpRequest.PUT("http://" + address + "/v1/configuration", bytes(body)));
  }

  /**
   * Sends a command to the leader.
   *
   * @param name the name of the command in the path
   * @param body its JSON body
   */
  public Reply command(String name, String body) {
    return sendToLeader(
        address -> HttpRequest.POST("http://" + address + "/v1/commands/" + name, bytes(body)));
  }

  /**
   * Reads a resource that only the leader serves.
   *
   * @param path the path, such as {@code /v1/hosts}
   */
  public Reply read(String path) {
    return sendToLeader(address -> HttpRequest.GET("http://" + address + path));
  }

  /** Returns the state dump of the process at an address; empty if it does not answer with 200. */
  public Optional<String> dump(String address) {
    return send(HttpRequest.GET("http://" + address + "/v1/dump"))
        .filter(reply -> reply.status() == 200)
        .map(Reply::body);
  }

  /** Returns whether the control process at an address reports the role of leader. */
  public boolean isLeader(String address) {
    return send(HttpRequest.GET("http://" + address + "/v1/status"))
        .map(reply -> reply.body().contains("\"role\":\"LEADER\""))
        .orElse(false);
  }

  @Override
  public void close() {
    client.close();
  }

  private Reply sendToLeader(RequestFactory request) {
    Reply last = Reply.NONE;
    for (String control : controlAddresses) {
      Optional<Reply> reply = send(request.to(control));
      if (reply.isPresent() && reply.get().status() != MISDIRECTED_REQUEST) {
        return reply.get();
      }
      last = reply.orElse(last);
    }
    return last;
  }

  private Optional<Reply> send(MutableHttpRequest<byte[]> request) {
    return HttpAnswers.exchange(client, request.bearerAuth(token))
        .timeout(TIMEOUT)
        .map(OperatorClient::reply)
        .onErrorResume(failure -> Mono.empty())
        .blockOptional();
  }

  private static Reply reply(HttpResponse<byte[]> response) {
    byte[] body = response.getBody().orElse(new byte[0]);
    return new Reply(response.code(), new String(body, StandardCharsets.UTF_8));
  }

  private static byte[] bytes(String body) {
    return body.getBytes(StandardCharsets.UTF_8);
  }

  /**
   * Answer of a control process.
   *
   * @param status the HTTP status; 0 if none answered
   * @param body the JSON body
   */
  public record Reply(int status, String body) {
    private static final Reply NONE = new Reply(0, "");

    /** Returns whether the command was accepted. */
    public boolean accepted() {
      return status == 200;
    }
  }

  /** Builds the request to one control process. */
  private interface RequestFactory {
    MutableHttpRequest<byte[]> to(String address);
  }
}
