package review3;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.Executors;

/** HTTP for the stand-ins: a server and a client over the libraries of the JDK. */
final class Web {
  private static final HttpClient CLIENT =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(1))
          .followRedirects(HttpClient.Redirect.NORMAL)
          .build();

  private Web() {}

  /** An answer; status 0 if there was none. */
  record Answer(int status, String body) {}

  /** Answers one request; null for no answer. */
  interface Handler {
    Answer handle(String method, String path, Map<String, String> headers, String body)
        throws Exception;
  }

  static HttpServer serve(String ip, int port, Handler handler) throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress(ip, port), 64);
    server.setExecutor(
        Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(task);
              thread.setDaemon(true);
              return thread;
            }));
    server.createContext("/", exchange -> answer(exchange, handler));
    server.start();
    return server;
  }

  private static void answer(HttpExchange exchange, Handler handler) throws IOException {
    try (exchange) {
      String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
      Map<String, String> headers = new java.util.TreeMap<>(String.CASE_INSENSITIVE_ORDER);
      exchange.getRequestHeaders().forEach((name, values) -> headers.put(name, values.get(0)));
      Answer answer;
      try {
        answer =
            handler.handle(
                exchange.getRequestMethod(), exchange.getRequestURI().toString(), headers, body);
      } catch (Exception failed) {
        failed.printStackTrace();
        answer = new Answer(500, "");
      }
      if (answer == null) {
        return;
      }
      byte[] bytes = answer.body().getBytes(StandardCharsets.UTF_8);
      exchange.getResponseHeaders().set("Content-Type", "application/json");
      exchange.sendResponseHeaders(answer.status(), bytes.length == 0 ? -1 : bytes.length);
      if (bytes.length > 0) {
        OutputStream out = exchange.getResponseBody();
        out.write(bytes);
      }
    }
  }

  static Answer call(String method, String address, String path, String body, int timeoutMs) {
    return call(method, address, path, body, timeoutMs, Map.of());
  }

  static Answer call(
      String method,
      String address,
      String path,
      String body,
      int timeoutMs,
      Map<String, String> headers) {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + address + path))
            .timeout(Duration.ofMillis(timeoutMs))
            .header("Content-Type", "application/json")
            .method(
                method,
                body.isEmpty()
                    ? HttpRequest.BodyPublishers.noBody()
                    : HttpRequest.BodyPublishers.ofString(body));
    headers.forEach(request::header);
    try {
      HttpResponse<String> response =
          CLIENT.send(request.build(), HttpResponse.BodyHandlers.ofString());
      return new Answer(response.statusCode(), response.body());
    } catch (IOException failed) {
      return new Answer(0, String.valueOf(failed));
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return new Answer(0, "interrupted");
    }
  }
}
