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

/** Asks the control processes of a deployment as an operator does. */
public final class OperatorCalls implements AutoCloseable {
  private static final Duration TIMEOUT = Duration.ofSeconds(5);
  private static final int MISDIRECTED = 421;

  private final ImmutableList<String> controls;
  private final String token;
  private final HttpClient client;
  private final AtomicLong nextCommand = new AtomicLong();

  OperatorCalls(ImmutableList<String> controls, String token) {
    this.controls = controls;
    this.token = token;
    DefaultHttpClientConfiguration configuration = new DefaultHttpClientConfiguration();
    configuration.setNumOfThreads(1);
    configuration.setExceptionOnErrorStatus(false);
    configuration.setMaxContentLength(1 << 24);
    this.client = HttpClient.create(null, configuration);
  }

  /**
   * Applies a configuration under a new command identity.
   *
   * @param expectedVersion the version that must stand
   * @param configuration the configuration
   */
  public Reply applyConfiguration(long expectedVersion, Configuration configuration) {
    return applyConfiguration(
        "command-" + nextCommand.incrementAndGet(), expectedVersion, configuration);
  }

  /**
   * Applies a configuration.
   *
   * @param commandId the identity of the command
   * @param expectedVersion the version that must stand
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
    return askLeader(
        address -> HttpRequest.PUT("http://" + address + "/v1/configuration", bytes(body)));
  }

  /**
   * Sends a command.
   *
   * @param name the name of the command in the path
   * @param body its JSON body
   */
  public Reply command(String name, String body) {
    return askLeader(
        address -> HttpRequest.POST("http://" + address + "/v1/commands/" + name, bytes(body)));
  }

  /**
   * Reads something that only the leader answers.
   *
   * @param path the path, such as {@code /v1/hosts}
   */
  public Reply read(String path) {
    return askLeader(address -> HttpRequest.GET("http://" + address + path));
  }

  /** Returns the dump of a process, or empty if it gives none. */
  public Optional<String> dump(String address) {
    return ask(HttpRequest.GET("http://" + address + "/v1/dump"))
        .filter(reply -> reply.status() == 200)
        .map(Reply::body);
  }

  /** Returns whether the process at that address leads. */
  public boolean leads(String address) {
    return ask(HttpRequest.GET("http://" + address + "/v1/status"))
        .map(reply -> reply.body().contains("\"role\":\"LEADER\""))
        .orElse(false);
  }

  @Override
  public void close() {
    client.close();
  }

  private Reply askLeader(RequestMaker request) {
    Reply last = Reply.NONE;
    for (String control : controls) {
      Optional<Reply> reply = ask(request.to(control));
      if (reply.isPresent() && reply.get().status() != MISDIRECTED) {
        return reply.get();
      }
      last = reply.orElse(last);
    }
    return last;
  }

  private Optional<Reply> ask(MutableHttpRequest<byte[]> request) {
    return HttpAnswers.exchange(client, request.bearerAuth(token))
        .timeout(TIMEOUT)
        .map(OperatorCalls::reply)
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
   * What a control process answered.
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

  /** Makes a request to one address. */
  private interface RequestMaker {
    MutableHttpRequest<byte[]> to(String address);
  }
}
