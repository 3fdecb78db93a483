package review3;

import com.sun.net.httpserver.HttpServer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * A sound runner of the platform: it obeys PROTOCOL.md's "Running subtasks" and "Service
 * discovery".
 */
final class Runner {
  private static final long MAX_HOLD_MS = 6_000;
  private static final long HEARTBEAT_MS = 1_500;
  static final long CPU = 32_000;
  static final long MEM_MB = 65_536;

  /** How a run goes: after how many milliseconds it ends, and how; it starts up before. */
  record Fate(long endsAfterMs, String how, long startupMs, boolean lasts) {}

  interface Fates {
    Fate of(String task, int run, String spec);
  }

  /** A run in progress. */
  private static final class Run {
    String task;
    int run;
    String spec;
    long startedAt;
    Fate fate;
    long stoppedAt = -1;
  }

  final String id;
  final String machine;
  final String service;
  final String address;
  final long born = System.currentTimeMillis();
  private final List<String> labels;
  private final Fates fates;
  private final Supplier<List<String>> controls;
  private final Record record;
  private final HttpServer server;
  private final long clockBegin = System.nanoTime();
  private final Map<String, Run> running = new LinkedHashMap<>();
  private final Map<String, Integer> highestEnded = new LinkedHashMap<>();
  private final List<List<Object>> finished = new ArrayList<>();
  private long endNumber;
  private long fence;
  private long expires;
  private long sequence;
  private volatile boolean ended;

  /** Whether the runner is unhealthy: it does nothing on an order to start, and answers 503. */
  volatile boolean unhealthy;

  /** Whether the runner is cut off from all machines; it runs on. */
  volatile boolean cutOff;

  /** Whether starts and ends are left out of the record. */
  volatile boolean quiet;

  private volatile String beatAddress = "";

  Runner(
      String id,
      String machine,
      String service,
      String ip,
      int port,
      List<String> labels,
      Fates fates,
      Supplier<List<String>> controls,
      Record record)
      throws Exception {
    this.id = id;
    this.machine = machine;
    this.service = service;
    this.address = ip + ":" + port;
    this.labels = labels;
    this.fates = fates;
    this.controls = controls;
    this.record = record;
    this.server = Web.serve(ip, port, this::handleUnlessCutOff);
    thread(this::work);
    thread(this::beat);
  }

  private static void thread(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  long clock() {
    return (System.nanoTime() - clockBegin) / 1_000_000;
  }

  /** The tasks that run now. */
  synchronized List<String> runningTasks() {
    return new ArrayList<>(running.keySet());
  }

  List<String> labels() {
    return labels;
  }

  /** Ends with the case. */
  synchronized void end() {
    if (!ended) {
      ended = true;
      server.stop(0);
      notifyAll();
    }
  }

  /** Loses calls that arrive during a cut, and answers that leave during one. */
  private Web.Answer handleUnlessCutOff(
      String method, String path, Map<String, String> headers, String body) throws Exception {
    Web.Answer answer = cutOff ? null : handle(method, path, headers, body);
    if (!cutOff) {
      return answer;
    }
    while (cutOff && !ended) {
      sleep(50);
    }
    return null;
  }

  private synchronized Web.Answer handle(
      String method, String path, Map<String, String> headers, String body) throws Exception {
    if (ended) {
      return null;
    }
    if (path.equals("/healthz")) {
      return new Web.Answer(200, "");
    }
    String expected = headers.get("X-Expect-Instance");
    if (expected != null && !expected.equals(id)) {
      return new Web.Answer(421, "");
    }
    Map<String, Object> call = Json.object(body);
    long token = number(call, "fencing_token");
    if (token < fence) {
      return answer(409, Json.map("reason", "fence"));
    }
    fence = token;
    return switch (path) {
      case "/run-start" -> start(call);
      case "/run-stop" -> stop(call);
      case "/hold" -> hold(call);
      case "/pace" -> pace(call);
      default -> new Web.Answer(404, "");
    };
  }

  private static long number(Map<String, Object> call, String name) {
    return call.get(name) instanceof Number number ? number.longValue() : 0;
  }

  private Web.Answer answer(int status, Map<String, Object> fields) {
    Map<String, Object> all = Json.map("clock_ms", clock(), "born", born);
    all.putAll(fields);
    return new Web.Answer(status, Json.write(all));
  }

  private void extend(Map<String, Object> call) {
    if (call.containsKey("expires_ms")) {
      expires = Math.max(expires, Math.min(number(call, "expires_ms"), clock() + MAX_HOLD_MS));
    }
  }

  private Web.Answer start(Map<String, Object> call) {
    String task = (String) call.get("task");
    int run = (int) number(call, "run_id");
    if (unhealthy) {
      record.line("runner %s is unhealthy and refuses %s run %d", id, task, run);
      return answer(503, Map.of());
    }
    Run present = running.get(task);
    if (present != null && present.run == run) {
      extend(call);
      return answer(200, Map.of());
    }
    if (present != null || run <= highestEnded.getOrDefault(task, 0)) {
      extend(call);
      return answer(409, Json.map("reason", "old"));
    }
    if (number(call, "expires_ms") <= clock()) {
      return answer(409, Json.map("reason", "late"));
    }
    extend(call);
    Run started = new Run();
    started.task = task;
    started.run = run;
    started.spec = (String) call.getOrDefault("spec", "");
    started.startedAt = clock();
    started.fate = fates.of(task, run, started.spec);
    running.put(task, started);
    if (!quiet) {
      record.line("runner %s starts %s run %d", id, task, run);
    }
    return answer(200, Map.of());
  }

  private Web.Answer stop(Map<String, Object> call) {
    String task = (String) call.get("task");
    int run = (int) number(call, "run_id");
    Run present = running.get(task);
    if (present != null && present.run <= run && present.stoppedAt < 0) {
      present.stoppedAt = clock();
    } else if (present == null) {
      highestEnded.merge(task, run, Math::max);
    }
    return answer(200, Map.of());
  }

  private Web.Answer pace(Map<String, Object> call) {
    return answer(200, Map.of());
  }

  private Web.Answer hold(Map<String, Object> call) throws InterruptedException {
    extend(call);
    long seen = number(call, "last_seen");
    finished.removeIf(row -> (Long) row.get(0) <= seen);
    long until = clock() + Math.min(2_000, number(call, "wait_ms"));
    while (finished.isEmpty() && clock() < until && !ended) {
      wait(Math.max(1, until - clock()));
    }
    if (ended) {
      return null;
    }
    List<Object> rows = new ArrayList<>();
    for (Run run : running.values()) {
      rows.add(List.of(run.task, run.run, "", percent(run), 0));
    }
    return answer(
        200,
        Json.map(
            "running", rows, "finished", finished.subList(0, Math.min(500, finished.size()))));
  }

  private long percent(Run run) {
    long age = clock() - run.startedAt;
    if (run.fate.lasts()) {
      return age >= run.fate.startupMs() ? 100 : 0;
    }
    return Math.min(99, 100 * age / Math.max(1, run.fate.endsAfterMs()));
  }

  private void work() {
    while (!ended) {
      synchronized (this) {
        for (Run run : List.copyOf(running.values())) {
          if (clock() > expires) {
            finish(run, "lapsed");
          } else if (run.stoppedAt >= 0 && clock() > run.stoppedAt + 50) {
            finish(run, "stopped");
          } else if (clock() - run.startedAt >= run.fate.endsAfterMs()) {
            finish(run, run.fate.how());
          }
        }
      }
      sleep(10);
    }
  }

  private void finish(Run run, String how) {
    running.remove(run.task);
    highestEnded.merge(run.task, run.run, Math::max);
    endNumber++;
    finished.add(List.of(endNumber, run.task, run.run, how, ""));
    if (!quiet) {
      record.line("runner %s ends %s run %d: %s", id, run.task, run.run, how);
    }
    notifyAll();
  }

  private void beat() {
    int next = Math.floorMod(id.hashCode(), 7);
    while (!ended) {
      if (cutOff) {
        sleep(50);
        continue;
      }
      sequence++;
      String body =
          Json.write(
              Json.map(
                  "service", service, "address", address, "zone", "tamar", "version", "v1", "slots", 8,
                  "state", "ready", "cold_remaining_ms", 0,
                  "capacity", Json.map("cpu", CPU, "mem_mb", MEM_MB, "gpu", 0),
                  "labels", labels, "clock_ms", clock(), "sequence", sequence,
                  "born", born, "machine", machine));
      boolean taken = false;
      if (!beatAddress.isEmpty()) {
        taken = report(beatAddress, body);
      }
      List<String> all = controls.get();
      for (int tries = 0; !taken && !ended && tries < all.size(); tries++) {
        beatAddress = "";
        taken = report(all.get(Math.floorMod(next++, all.size())), body);
      }
      sleep(taken ? HEARTBEAT_MS : 300);
    }
  }

  private boolean report(String control, String body) {
    Web.Answer answer = Web.call("POST", control, "/Instances.Heartbeat/" + id, body, 1_000);
    if (answer.status() / 100 != 2) {
      return false;
    }
    if (answer.body().contains("heartbeat_addr")) {
      beatAddress = String.valueOf(Json.object(answer.body()).get("heartbeat_addr"));
    }
    return true;
  }

  private static void sleep(long milliseconds) {
    try {
      Thread.sleep(milliseconds);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}
