import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Runner stand-ins that follow PROTOCOL.md, and the check of the rule TWICE over all of them. */
final class Runners implements AutoCloseable {
  static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int MAX_HOLD_MS = 6_000;
  private static final int STOP_MS = 100;
  private static final int HEARTBEAT_MS = 1_500;

  private final Record record;
  private final List<Runner> all = new ArrayList<>();
  private final Map<String, String> atWork = new HashMap<>();
  private final List<String> broken = new ArrayList<>();
  private int starts;
  private long lastStartAt;
  private volatile boolean ticketsRequired;

  Runners(Record record) {
    this.record = record;
  }

  /** Adds a runner that completes each run after a time. */
  Runner add(Deployment deployment, String id, String service, int workMs) throws IOException {
    Runner runner = new Runner(deployment, id, service, workMs);
    all.add(runner);
    return runner;
  }

  synchronized List<String> broken() {
    return List.copyOf(broken);
  }

  synchronized int starts() {
    return starts;
  }

  /** Returns how many runs are at work on all runners. */
  synchronized int atWork() {
    return atWork.size();
  }

  /** From now on, a start needs the ticket of its step and runner. */
  void requireTickets() {
    ticketsRequired = true;
  }

  /** Returns the ticket for a step (ID.K.STEP) on a runner. */
  static String ticket(String step, String runner) {
    return "ticket-" + step + "-" + runner;
  }

  /** Returns the address of a runner that has runs at work. */
  String atWorkAddress() {
    return all.stream().filter(Runner::isAtWork).findFirst().orElseThrow().address;
  }

  /** Returns the steady time of the last start, in nanoseconds. */
  synchronized long lastStartAt() {
    return lastStartAt;
  }

  private synchronized void onStart(String task, int run, String runner) {
    starts++;
    lastStartAt = System.nanoTime();
    String other = atWork.put(task, runner + " run " + run);
    if (other != null) {
      String line =
          "TWICE: " + task + " run " + run + " starts on " + runner + " while it runs on " + other;
      broken.add(line);
      record.write(line);
    }
  }

  private synchronized void onEnd(String task, int run, String runner) {
    atWork.remove(task, runner + " run " + run);
  }

  @Override
  public void close() {
    all.forEach(Runner::close);
  }

  /** One run that is at work. */
  private static final class Run {
    final int number;
    final long endsAt;
    String how = "done";
    long stopsAt = Long.MAX_VALUE;

    private final long workMs;

    Run(int number, long endsAt, long workMs) {
      this.number = number;
      this.endsAt = endsAt;
      this.workMs = workMs;
    }

    int percent(long now) {
      return (int) Math.max(0, Math.min(99, 100 - (endsAt - now) * 100 / workMs));
    }
  }

  /** One lifetime of a runner. */
  final class Runner {
    final String id;
    final String address;
    final long born = System.currentTimeMillis();
    private final Deployment deployment;
    private final String service;
    private final int workMs;
    private final HttpServer server;
    private final ScheduledExecutorService executor = Executors.newScheduledThreadPool(8);
    private final long startedAt = System.nanoTime();
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final Map<String, Integer> highestEnded = new HashMap<>();
    private final List<Object[]> finished = new ArrayList<>();
    private long leaseEnd;
    private long highestToken;
    private long lastEnd;
    private long sequence;

    Runner(Deployment deployment, String id, String service, int workMs) throws IOException {
      this.deployment = deployment;
      this.id = id;
      this.service = service;
      this.workMs = workMs;
      this.server = HttpServer.create(new InetSocketAddress("127.0.0.8", 0), 64);
      this.address = "127.0.0.8:" + server.getAddress().getPort();
      server.setExecutor(Executors.newCachedThreadPool());
      server.createContext("/", this::handle);
      server.start();
      executor.scheduleWithFixedDelay(this::advance, 5, 5, TimeUnit.MILLISECONDS);
      executor.scheduleAtFixedRate(this::heartbeat, 0, HEARTBEAT_MS, TimeUnit.MILLISECONDS);
    }

    synchronized boolean isAtWork() {
      return !running.isEmpty();
    }

    private long clock() {
      return 1_000 + (System.nanoTime() - startedAt) / 1_000_000;
    }

    private void heartbeat() {
      long number;
      synchronized (this) {
        number = ++sequence;
      }
      deployment.control(
          "POST", "/Instances.Heartbeat/" + id, report(service, address, born, number, "m-" + id));
    }

    private void handle(HttpExchange exchange) throws IOException {
      String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
      String expected = exchange.getRequestHeaders().getFirst("X-Expect-Instance");
      if (expected != null && !expected.equals(id)) {
        reply(exchange, 421, "{}");
        return;
      }
      JsonNode order = MAPPER.readTree(body.isEmpty() ? "{}" : body);
      switch (exchange.getRequestURI().getPath()) {
        case "/run-start" -> start(exchange, order);
        case "/run-stop" -> stop(exchange, order);
        case "/hold" -> hold(exchange, order);
        case "/pace", "/healthz" -> reply(exchange, 200, fields(""));
        default -> reply(exchange, 404, "{}");
      }
    }

    private void start(HttpExchange exchange, JsonNode order) throws IOException {
      String task = order.path("task").asText();
      int number = order.path("run_id").asInt();
      String reason = "";
      synchronized (this) {
        long expires = order.path("expires_ms").asLong();
        if (order.path("fencing_token").asLong() < highestToken) {
          reason = "fence";
        } else {
          highestToken = order.path("fencing_token").asLong();
          Run present = running.get(task);
          if (expires <= clock()) {
            reason = "late";
          } else if (present != null && present.number == number) {
            extend(expires);
          } else if (number <= highestEnded.getOrDefault(task, 0) || present != null) {
            extend(expires);
            reason = "old";
          } else if (ticketsRequired
              && !order.path("ticket").asText().equals(ticket(stepOf(task), id))) {
            reason = "ticket";
          } else {
            extend(expires);
            running.put(task, new Run(number, clock() + workMs, workMs));
            record.write(id + " starts " + task + " run " + number);
            onStart(task, number, id);
          }
        }
      }
      if (reason.isEmpty()) {
        reply(exchange, 200, fields(""));
      } else {
        record.write(id + " refuses " + task + " run " + number + ": " + reason);
        reply(exchange, 409, fields(",\"reason\":\"" + reason + "\""));
      }
    }

    private String stepOf(String task) {
      return task.substring(0, task.lastIndexOf('.'));
    }

    private void stop(HttpExchange exchange, JsonNode order) throws IOException {
      String task = order.path("task").asText();
      int number = order.path("run_id").asInt();
      boolean fenced;
      synchronized (this) {
        fenced = order.path("fencing_token").asLong() < highestToken;
        if (!fenced) {
          highestToken = order.path("fencing_token").asLong();
          highestEnded.merge(task, number, Math::max);
          Run run = running.get(task);
          if (run != null && run.number == number) {
            run.how = "stopped";
            run.stopsAt = Math.min(run.stopsAt, clock() + STOP_MS);
          }
        }
      }
      reply(exchange, fenced ? 409 : 200, fields(fenced ? ",\"reason\":\"fence\"" : ""));
    }

    private void hold(HttpExchange exchange, JsonNode order) throws IOException {
      String answer;
      synchronized (this) {
        if (order.path("fencing_token").asLong() < highestToken) {
          reply(exchange, 409, fields(",\"reason\":\"fence\""));
          return;
        }
        highestToken = order.path("fencing_token").asLong();
        if (order.has("expires_ms")) {
          extend(order.path("expires_ms").asLong());
        }
        long lastSeen = order.path("last_seen").asLong();
        finished.removeIf(end -> (Long) end[0] <= lastSeen);
        long deadline = System.nanoTime() + order.path("wait_ms").asLong() * 1_000_000;
        while (finished.isEmpty() && System.nanoTime() < deadline) {
          try {
            wait(Math.max(1, (deadline - System.nanoTime()) / 1_000_000));
          } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            break;
          }
        }
        List<Object[]> runs = new ArrayList<>();
        running.forEach(
            (task, run) -> runs.add(new Object[] {task, run.number, "", run.percent(clock()), 0}));
        answer =
            fields(
                ",\"running\":" + MAPPER.writeValueAsString(runs)
                    + ",\"finished\":" + MAPPER.writeValueAsString(finished));
      }
      reply(exchange, 200, answer);
    }

    private void extend(long expires) {
      leaseEnd = Math.max(leaseEnd, Math.min(expires, clock() + MAX_HOLD_MS));
    }

    private synchronized void advance() {
      boolean lapsed = clock() > leaseEnd;
      for (Map.Entry<String, Run> entry : List.copyOf(running.entrySet())) {
        Run run = entry.getValue();
        boolean over = clock() >= run.endsAt || clock() >= run.stopsAt;
        if (over || lapsed) {
          String how = clock() >= run.endsAt ? "done" : lapsed ? "lapsed" : run.how;
          running.remove(entry.getKey());
          highestEnded.merge(entry.getKey(), run.number, Math::max);
          finished.add(new Object[] {++lastEnd, entry.getKey(), run.number, how, ""});
          record.write(id + " ends " + entry.getKey() + " run " + run.number + ": " + how);
          onEnd(entry.getKey(), run.number, id);
          notifyAll();
        }
      }
    }

    private String fields(String more) {
      return "{\"clock_ms\":" + clock() + ",\"born\":" + born + more + "}";
    }

    private void reply(HttpExchange exchange, int status, String body) throws IOException {
      byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
      exchange.getResponseHeaders().set("Content-Type", "application/json");
      exchange.sendResponseHeaders(status, bytes.length);
      exchange.getResponseBody().write(bytes);
      exchange.close();
    }

    void close() {
      executor.shutdownNow();
      server.stop(0);
    }
  }

  /** Returns the body of a liveness report. */
  static String report(
      String service, String address, long born, long sequence, String machine) {
    return "{\"service\":\"" + service + "\",\"address\":\"" + address
        + "\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
        + "\"cold_remaining_ms\":0,\"capacity\":{\"cpu\":32000,\"mem_mb\":65536,\"gpu\":0},"
        + "\"labels\":[\"a\",\"r1-1\"],\"machine\":\"" + machine + "\",\"clock_ms\":5000,\"born\":"
        + born + ",\"sequence\":" + sequence + "}";
  }
}
