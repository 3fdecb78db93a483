package review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** HTTP helpers of the stand-ins. */
final class Web {
  private static final ExecutorService THREADS =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task, "web");
            thread.setDaemon(true);
            return thread;
          });

  static {
    System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
    System.setProperty("sun.net.httpserver.nodelay", "true");
  }

  private static final String DEADLINE_MS = "3000";

  private Web() {}

  /** The answer to a request; status 0 if there was none. */
  record Answer(int status, String body, String location) {
    boolean isSuccess() {
      return status >= 200 && status < 300;
    }
  }

  static HttpServer serve(String address, Handler handler) throws IOException {
    int colon = address.lastIndexOf(':');
    HttpServer server =
        HttpServer.create(
            new InetSocketAddress(
                address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
            256);
    server.setExecutor(THREADS);
    server.createContext("/", exchange -> answer(exchange, handler));
    server.start();
    return server;
  }

  private static void answer(HttpExchange exchange, Handler handler) throws IOException {
    byte[] request = exchange.getRequestBody().readAllBytes();
    Answer answer;
    try {
      answer = handler.handle(exchange, request);
    } catch (RuntimeException failed) {
      failed.printStackTrace();
      answer = new Answer(500, "", "");
    }
    byte[] body = answer.body().getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(answer.status(), body.length == 0 ? -1 : body.length);
    if (body.length > 0) {
      exchange.getResponseBody().write(body);
    }
    exchange.close();
  }

  static HttpClient client() {
    return HttpClient.newBuilder()
        .version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(Duration.ofSeconds(1))
        .executor(THREADS)
        .build();
  }

  static Answer send(
      HttpClient client, String method, String url, String host, String body, Duration timeout) {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create(url))
            .timeout(timeout)
            .method(
                method,
                body.isEmpty()
                    ? HttpRequest.BodyPublishers.noBody()
                    : HttpRequest.BodyPublishers.ofString(body));
    if (!body.isEmpty()) {
      request.header("Content-Type", "application/json");
    }
    if (!host.isEmpty()) {
      request.header("Host", host);
      request.header("X-Deadline-Ms", DEADLINE_MS);
    }
    try {
      HttpResponse<String> response =
          client.send(request.build(), HttpResponse.BodyHandlers.ofString());
      return new Answer(
          response.statusCode(),
          response.body(),
          response.headers().firstValue("Location").orElse(""));
    } catch (IOException noAnswer) {
      return new Answer(0, String.valueOf(noAnswer), "");
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return new Answer(0, "interrupted", "");
    }
  }

  /** Answers one request. */
  @FunctionalInterface
  interface Handler {
    Answer handle(HttpExchange exchange, byte[] body);
  }
}
