package org.verbenawheel.fake;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.verbenawheel.request.IdempotencyKey;
import org.verbenawheel.request.RunVerdict;

/**
 * HTTP endpoint for scenarios that counts the requests it runs, in total and by idempotency key.
 *
 * <p>The query controls each request: {@code milliseconds=N} runs for that long, {@code status=N}
 * answers with that status. The answer is the endpoint's name, a colon and the request's body,
 * which lets a caller verify that the answer is complete and belongs to its own request.
 */
public final class FakeEndpoint implements AutoCloseable {
  private static final int NO_CONTENT_LENGTH = -1;
  private static final int BYTES_CUT_OFF = 100;

  static {
    // Without TCP_NODELAY each answer with a body waits some 40 ms for the caller's TCP
    // acknowledgement.
    System.setProperty("sun.net.httpserver.nodelay", "true");
  }

  private final String name;
  private final HttpServer server;
  private final ExecutorService workers = Executors.newCachedThreadPool();
  private final AtomicInteger running = new AtomicInteger();
  private final AtomicInteger maxConcurrentRuns = new AtomicInteger();
  private final AtomicLong started = new AtomicLong();
  private final AtomicLong served = new AtomicLong();
  private final Map<String, Integer> runsByKey = new ConcurrentHashMap<>();
  private volatile FakeBehaviour behaviour = FakeBehaviour.HEALTHY;

  /**
   * Starts an endpoint on a loopback port.
   *
   * @param name the name sent in every answer
   * @param port the port; 0 for any free one
   * @throws IOException if the port cannot be used
   */
  public FakeEndpoint(String name, int port) throws IOException {
    this.name = name;
    this.server =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 0);
    server.setExecutor(workers);
    server.createContext("/", this::handle);
    server.start();
  }

  /** Returns the address that the endpoint listens on, as {@code ip:port}. */
  public String address() {
    return server.getAddress().getAddress().getHostAddress() + ":" + server.getAddress().getPort();
  }

  /** Sets the fault for requests that arrive from now on. */
  public void setBehaviour(FakeBehaviour newBehaviour) {
    behaviour = newBehaviour;
  }

  /** Returns the number of requests that it started to run. */
  public long started() {
    return started.get();
  }

  /** Returns the number of requests that it finished running. */
  public long served() {
    return served.get();
  }

  /** Returns the number of requests running now. */
  public int running() {
    return running.get();
  }

  /** Returns the largest number of requests that ran at the same time. */
  public int maxConcurrentRuns() {
    return maxConcurrentRuns.get();
  }

  /** Returns the largest number of runs under one idempotency key; 0 if no request had a key. */
  public int maxRunsPerKey() {
    return runsByKey.values().stream().mapToInt(Integer::intValue).max().orElse(0);
  }

  /** Returns the number of runs for each idempotency key. */
  public Map<String, Integer> runsByKey() {
    return Map.copyOf(runsByKey);
  }

  @Override
  public void close() {
    server.stop(0);
    workers.shutdownNow();
  }

  private void handle(HttpExchange exchange) throws IOException {
    if (exchange.getRequestURI().getPath().equals("/health/ready")) {
      respond(exchange, 200, "ready".getBytes(StandardCharsets.UTF_8));
      return;
    }
    byte[] body = exchange.getRequestBody().readAllBytes();
    if (behaviour == FakeBehaviour.REFUSES_WITHOUT_RUNNING) {
      exchange.getResponseHeaders().add(RunVerdict.HEADER, RunVerdict.NOT_RUN.name());
      respond(exchange, 503, new byte[0]);
      return;
    }
    if (behaviour == FakeBehaviour.FAILS_FAST) {
      respond(exchange, 500, "failed".getBytes(StandardCharsets.UTF_8));
      return;
    }
    run(exchange, body);
  }

  private void run(HttpExchange exchange, byte[] body) throws IOException {
    started.incrementAndGet();
    int concurrentRuns = running.incrementAndGet();
    maxConcurrentRuns.accumulateAndGet(concurrentRuns, Math::max);
    countKey(exchange);
    Map<String, String> query = Query.parse(exchange.getRequestURI().getRawQuery());
    try {
      TimeUnit.MILLISECONDS.sleep(Long.parseLong(query.getOrDefault("milliseconds", "0")));
    } catch (InterruptedException stopping) {
      Thread.currentThread().interrupt();
    } finally {
      running.decrementAndGet();
      served.incrementAndGet();
    }
    byte[] answer = echo(body);
    if (behaviour == FakeBehaviour.CUTS_ANSWERS_SHORT) {
      exchange.sendResponseHeaders(200, answer.length + BYTES_CUT_OFF);
      exchange.getResponseBody().write(answer);
      exchange.getResponseBody().flush();
      exchange.close();
      return;
    }
    respond(exchange, Integer.parseInt(query.getOrDefault("status", "200")), answer);
  }

  private void countKey(HttpExchange exchange) {
    String key = exchange.getRequestHeaders().getFirst(IdempotencyKey.HEADER);
    if (key != null) {
      runsByKey.merge(key, 1, Integer::sum);
    }
  }

  private byte[] echo(byte[] body) {
    byte[] prefix = (name + ":").getBytes(StandardCharsets.UTF_8);
    byte[] answer = new byte[prefix.length + body.length];
    System.arraycopy(prefix, 0, answer, 0, prefix.length);
    System.arraycopy(body, 0, answer, prefix.length, body.length);
    return answer;
  }

  private static void respond(HttpExchange exchange, int status, byte[] body) throws IOException {
    exchange.sendResponseHeaders(status, body.length == 0 ? NO_CONTENT_LENGTH : body.length);
    if (body.length > 0) {
      exchange.getResponseBody().write(body);
    }
    exchange.close();
  }
}
