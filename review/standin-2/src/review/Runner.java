package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.http.HttpClient;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * A sound runner as PROTOCOL.md describes it: it guards its capacity, keeps the highest fencing
 * token, holds everything under a lease, lists what runs and at most 500 ends at a time, and
 * reports about itself.
 */
class Runner implements AutoCloseable {
  private static final int LISTED_ENDS = 500;
  private static final long MAXIMUM_LEASE_MS = 6_000;
  private static final long HEARTBEAT_MS = 1_500;
  private static final long CHECKPOINT_MS = 1_000;
  private static final long STOP_MS = 40;
  final String id;
  final String machine;
  final String service;
  final String address;
  final String rack;
  final long born = System.currentTimeMillis();
  private final Deployment deployment;
  private final Work work;
  private final Gangs gangs;
  private final int cpu;
  private final int memory;
  private final HttpServer server;
  private final HttpClient reporter = Web.client();
  private final ScheduledExecutorService timer =
      Executors.newScheduledThreadPool(
          2,
          task -> {
            Thread thread = new Thread(task, "runner");
            thread.setDaemon(true);
            return thread;
          });
  private final long clockStart = System.nanoTime();
  private final long clockOffset = ThreadLocalRandom.current().nextLong(100_000, 900_000);
  private final Map<String, Run> running = new LinkedHashMap<>();
  private final Map<String, Integer> highestOver = new HashMap<>();
  private final List<End> ends = new ArrayList<>();
  private final List<Lapse> lapses = new ArrayList<>();
  private final List<Start> starts = new ArrayList<>();
  private final List<End> allEnds = new ArrayList<>();
  private final Map<Long, Long> notedAt = new HashMap<>();
  private final Map<String, String> listedCheckpoints = new HashMap<>();
  private long lastEnd;
  private long lastSeen;
  private long fence;
  private long leaseEnd;
  private long lapsedLeaseEnd;
  private long sequence;
  private int nextControl;
  private String reportAddress = "";
  private volatile boolean unhealthy;
  private volatile boolean reachable = true;
  private volatile boolean left;
  private volatile String state = "ready";
  private volatile String cutFrom = "";

  /** How long a run works and how it ends. */
  record Plan(long milliseconds, String ending) {}

  /** Decides what a run does. */
  interface Work {
    Plan plan(Runner runner, String task, int run);
  }

  record Start(long at, String task, int run, long token, String checkpoint) {}

  record End(long number, String task, int run, String how, String saved, long at) {}

  record Lapse(long at) {}

  /** A run at work, or a member of a gang that waits for the others. */
  final class Run {
    final String task;
    final int number;
    final int cpu;
    final int memory;
    final String resumedFrom;
    final long startedAt;
    boolean atWork;
    long workSince;

    Run(String task, int number, int cpu, int memory, String resumedFrom, long startedAt) {
      this.task = task;
      this.number = number;
      this.cpu = cpu;
      this.memory = memory;
      this.resumedFrom = resumedFrom;
      this.startedAt = startedAt;
    }

    Runner runner() {
      return Runner.this;
    }
  }

  Runner(
      Deployment deployment,
      int number,
      String service,
      int cpu,
      int memory,
      Work work,
      Gangs gangs)
      throws IOException {
    this.deployment = deployment;
    this.id = String.format("i-%08x", 0x7f3a9000 + number);
    this.machine = "m-" + number;
    this.service = service;
    this.rack = "r1-" + (number / 4 + 1);
    this.cpu = cpu;
    this.memory = memory;
    this.work = work;
    this.gangs = gangs;
    this.address = deployment.runnerAddress(number);
    this.server = Web.serve(address, this::handle);
    deployment.add(this);
    var unused =
        timer.scheduleAtFixedRate(this::checkLease, 20, 20, TimeUnit.MILLISECONDS);
    var unused2 =
        timer.scheduleAtFixedRate(
            this::reportQuietly,
            ThreadLocalRandom.current().nextLong(200),
            HEARTBEAT_MS,
            TimeUnit.MILLISECONDS);
  }

  private long clock() {
    return clockOffset + (System.nanoTime() - clockStart) / 1_000_000;
  }

  private long now() {
    return deployment.record.now();
  }

  ObjectNode machineEntry() {
    ObjectNode entry = Json.object();
    entry.put("machine", machine).put("pool", service).put("state", "up").put("zone", "z1");
    entry.putArray("labels").add("a").add(rack);
    entry.set("capacity", capacity());
    entry.put("id", id);
    return entry;
  }

  private ObjectNode capacity() {
    return Json.object().put("cpu", cpu).put("mem_mb", memory).put("gpu", 0);
  }

  // ---- what the case controls -------------------------------------------------------------

  void setUnhealthy(boolean value) {
    deployment.record.line("%s unhealthy=%s", id, value);
    unhealthy = value;
  }

  /** While not reachable, the runner reads no request: its packets are held up. */
  void setReachable(boolean value) {
    deployment.record.line("%s reachable=%s", id, value);
    reachable = value;
  }

  void setState(String value) {
    state = value;
  }

  boolean hasLeft() {
    return left;
  }

  synchronized List<Start> starts() {
    return List.copyOf(starts);
  }

  synchronized List<End> allEnds() {
    return List.copyOf(allEnds);
  }

  synchronized List<Lapse> lapses() {
    return List.copyOf(lapses);
  }

  /** Returns when an end was taken note of; empty if it was not. */
  synchronized Long notedAt(long number) {
    return notedAt.get(number);
  }

  synchronized int runningCount() {
    return running.size();
  }

  synchronized boolean runs(String task) {
    return running.containsKey(task);
  }

  /** Until it is called with an empty text, no new channel to this address opens. */
  void cutFrom(String control) {
    cutFrom = control;
  }

  /** Says that the runner ends now. */
  void deregister() {
    for (int number = 1; number <= Deployment.CONTROLS; number++) {
      Web.Answer answer =
          deployment.callControl(
              reporter,
              "POST",
              deployment.controlAddress(number),
              "/Instances.Deregister/" + id,
              Json.text(Json.object().put("born", born)));
      if (answer.isSuccess()) {
        return;
      }
    }
  }

  /** Ends the runner without a word, with all that it runs. */
  void crash() {
    deployment.record.line("%s crashes", id);
    left = true;
    timer.shutdownNow();
    server.stop(0);
    synchronized (this) {
      if (gangs != null) {
        for (Run run : List.copyOf(running.values())) {
          gangs.onEnded(run);
        }
      }
      running.clear();
    }
  }

  @Override
  public void close() {
    timer.shutdownNow();
    server.stop(0);
  }

  // ---- reports ----------------------------------------------------------------------------

  /** Returns the next report. */
  synchronized String nextReport(String reportedState) {
    sequence++;
    ObjectNode report = Json.object();
    report
        .put("service", service)
        .put("address", address)
        .put("zone", "z1")
        .put("version", "v1")
        .put("slots", 8)
        .put("state", reportedState)
        .put("cold_remaining_ms", 0);
    if (reportedState.equals("draining")) {
      report.put("remaining_ms", 2_000);
    }
    report.set("capacity", capacity());
    report.putArray("labels").add("a").add(rack);
    report
        .put("clock_ms", clock())
        .put("sequence", sequence)
        .put("born", born)
        .put("machine", machine);
    return Json.text(report);
  }

  private void reportQuietly() {
    try {
      if (!left) {
        report();
      }
    } catch (RuntimeException failed) {
      deployment.record.line("%s report failed: %s", id, failed);
    }
  }

  /** Sends one report, to the next node after a failure; returns whether it was acknowledged. */
  boolean report() {
    for (int attempt = 0; attempt < Deployment.CONTROLS; attempt++) {
      String target = reportAddress;
      if (target.isEmpty()) {
        nextControl = nextControl % Deployment.CONTROLS + 1;
        target = deployment.controlAddress(nextControl);
      }
      if (sendReport(target)) {
        return true;
      }
      reportAddress = "";
    }
    return false;
  }

  boolean sendReport(String target) {
    String sentState = state;
    String body = nextReport(sentState);
    Web.Answer answer =
        deployment.callControl(
            reporter, "POST", target, "/Instances.Heartbeat/" + id, body, cutFrom,
            java.time.Duration.ofSeconds(1));
    if (!sentState.equals("ready")) {
      deployment.record.line("%s reports %s to %s -> %d", id, body, target, answer.status());
    }
    if (answer.isSuccess() && !answer.body().isEmpty()) {
      reportAddress =
          Json.parse(answer.body().getBytes()).path("heartbeat_addr").asText("");
    }
    return answer.isSuccess();
  }

  // ---- orders -----------------------------------------------------------------------------

  private Web.Answer handle(HttpExchange exchange, byte[] body) {
    while (!reachable) {
      Deployment.pause(10);
    }
    String path = exchange.getRequestURI().getPath();
    if (path.equals("/healthz")) {
      return new Web.Answer(unhealthy ? 503 : 200, "", "");
    }
    String intended = exchange.getRequestHeaders().getFirst("X-Expect-Instance");
    if (intended != null && !intended.equals(id)) {
      return answer(421, Json.object());
    }
    JsonNode order = Json.parse(body);
    return switch (path) {
      case "/run-start" -> start(order);
      case "/run-stop" -> stop(order);
      case "/hold" -> hold(order);
      case "/pace" -> answer(200, Json.object());
      default -> answer(404, Json.object());
    };
  }

  private Web.Answer answer(int status, ObjectNode fields) {
    fields.put("clock_ms", clock()).put("born", born);
    return new Web.Answer(status, Json.text(fields), "");
  }

  private Web.Answer refuse(JsonNode order, String reason) {
    deployment.record.line(
        "%s refuses %s run %d token %d: %s",
        id,
        order.path("task").asText(),
        order.path("run_id").asInt(),
        order.path("fencing_token").asLong(),
        reason);
    return answer(409, Json.object().put("reason", reason));
  }

  private boolean isFenced(JsonNode order) {
    long token = order.path("fencing_token").asLong(0);
    if (token < fence) {
      return true;
    }
    fence = token;
    return false;
  }

  private void extendLease(JsonNode order) {
    if (order.has("expires_ms")) {
      long end = Math.min(order.path("expires_ms").asLong(), clock() + MAXIMUM_LEASE_MS);
      leaseEnd = Math.max(leaseEnd, end);
    }
  }

  private synchronized Web.Answer start(JsonNode order) {
    String task = order.path("task").asText();
    int number = order.path("run_id").asInt();
    if (unhealthy) {
      deployment.record.line("%s refuses %s run %d: 503, unhealthy", id, task, number);
      return answer(503, Json.object());
    }
    if (isFenced(order)) {
      return refuse(order, "fence");
    }
    if (order.path("expires_ms").asLong() <= clock()) {
      return refuse(order, "late");
    }
    extendLease(order);
    Run present = running.get(task);
    if (present != null && present.number == number) {
      return answer(200, Json.object());
    }
    if (number <= highestOver.getOrDefault(task, 0)) {
      return refuse(order, "old");
    }
    int[] needs = Jobs.needs(task);
    int usedCpu = running.values().stream().mapToInt(run -> run.cpu).sum();
    int usedMemory = running.values().stream().mapToInt(run -> run.memory).sum();
    if (present != null || usedCpu + needs[0] > cpu || usedMemory + needs[1] > memory) {
      return refuse(order, "room");
    }
    String checkpoint = order.path("checkpoint").asText("");
    long at = now();
    Run run = new Run(task, number, needs[0], needs[1], checkpoint, at);
    running.put(task, run);
    starts.add(new Start(at, task, number, order.path("fencing_token").asLong(), checkpoint));
    deployment.record.line(
        "%s starts %s run %d token %d checkpoint '%s'",
        id, task, number, order.path("fencing_token").asLong(), checkpoint);
    if (gangs != null && gangs.isGang(task)) {
      gangs.onStarted(run);
    } else {
      beginWork(run);
    }
    return answer(200, Json.object());
  }

  /** Lets a run work from now on. */
  synchronized void beginWork(Run run) {
    if (running.get(run.task) != run) {
      return;
    }
    run.atWork = true;
    run.workSince = now();
    Plan plan = work.plan(this, run.task, run.number);
    var unused =
        timer.schedule(
            () -> end(run, plan.ending()), plan.milliseconds(), TimeUnit.MILLISECONDS);
  }

  /** Returns whether all runs have produced a checkpoint that no listing has named yet. */
  synchronized boolean hasOnlyUnlistedCheckpoints() {
    return !running.isEmpty()
        && running.values().stream()
            .allMatch(
                run ->
                    !checkpointOf(run)
                        .equals(listedCheckpoints.getOrDefault(run.task + "/" + run.number, "")));
  }

  /** Lets all runs end as done, spread over a time. */
  synchronized void finishAll(long spreadMilliseconds) {
    for (Run run : running.values()) {
      long delay = Math.floorMod(run.task.hashCode(), spreadMilliseconds);
      var unused = timer.schedule(() -> end(run, "done"), delay, TimeUnit.MILLISECONDS);
    }
  }

  /** Returns the newest checkpoint of a run. */
  String checkpointOf(Run run) {
    if (!run.atWork || !Jobs.checkpoints(run.task)) {
      return run.resumedFrom;
    }
    long saved = (now() - run.workSince) / CHECKPOINT_MS;
    return saved == 0 ? run.resumedFrom : Jobs.checkpoint(run.task, run.number, saved);
  }

  /** Ends a run unless it has ended before. */
  synchronized void end(Run run, String how) {
    if (left || running.get(run.task) != run) {
      return;
    }
    String saved =
        how.equals("done") ? "" : checkpointOf(run);
    running.remove(run.task);
    lastEnd++;
    End end = new End(lastEnd, run.task, run.number, how, saved, now());
    ends.add(end);
    allEnds.add(end);
    highestOver.merge(run.task, run.number, Math::max);
    deployment.record.line(
        "%s ends %s run %d: %s, end %d, saved '%s'", id, run.task, run.number, how, lastEnd, saved);
    notifyAll();
    if (gangs != null && gangs.isGang(run.task)) {
      var unused = timer.schedule(() -> gangs.onEnded(run), 1, TimeUnit.MILLISECONDS);
    }
  }

  private synchronized Web.Answer stop(JsonNode order) {
    if (isFenced(order)) {
      return refuse(order, "fence");
    }
    String task = order.path("task").asText();
    int number = order.path("run_id").asInt();
    deployment.record.line("%s is told to stop %s run %d", id, task, number);
    highestOver.merge(task, number, Math::max);
    Run run = running.get(task);
    if (run != null && run.number == number) {
      var unused = timer.schedule(() -> end(run, "stopped"), STOP_MS, TimeUnit.MILLISECONDS);
    }
    return answer(200, Json.object());
  }

  private synchronized Web.Answer hold(JsonNode order) {
    if (isFenced(order)) {
      return refuse(order, "fence");
    }
    extendLease(order);
    long seen = order.path("last_seen").asLong(0);
    if (seen > lastSeen) {
      for (long number = lastSeen + 1; number <= Math.min(seen, lastEnd); number++) {
        notedAt.put(number, now());
      }
      lastSeen = seen;
      deployment.record.line("%s last_seen %d of %d", id, seen, lastEnd);
    }
    ends.removeIf(end -> end.number() <= seen);
    long until = System.nanoTime() + order.path("wait_ms").asLong(0) * 1_000_000;
    while (ends.isEmpty() && System.nanoTime() < until) {
      try {
        TimeUnit.NANOSECONDS.timedWait(this, Math.max(1, until - System.nanoTime()));
      } catch (InterruptedException interrupted) {
        Thread.currentThread().interrupt();
        break;
      }
    }
    ObjectNode answer = Json.object();
    ArrayNode runs = answer.putArray("running");
    for (Run run : running.values()) {
      ArrayNode row = runs.addArray();
      String checkpoint = checkpointOf(run);
      listedCheckpoints.put(run.task + "/" + run.number, checkpoint);
      row.add(run.task).add(run.number).add(checkpoint).add(percent(run)).add(0);
    }
    ArrayNode over = answer.putArray("finished");
    int listed = Math.min(LISTED_ENDS, ends.size());
    for (End end : ends.subList(0, listed)) {
      ArrayNode row = over.addArray();
      row.add(end.number()).add(end.task()).add(end.run()).add(end.how()).add(end.saved());
    }
    if (!ends.isEmpty()) {
      deployment.record.line(
          "%s lists %d running and ends %d to %d, token %d; %d more ends wait",
          id,
          running.size(),
          ends.get(0).number(),
          ends.get(listed - 1).number(),
          order.path("fencing_token").asLong(),
          ends.size() - listed);
    }
    return answer(200, answer);
  }

  private int percent(Run run) {
    if (!run.atWork) {
      return 0;
    }
    // Rises all the time; the cases need no more than that.
    return (int) Math.min(99, 1 + (now() - run.workSince) / 150);
  }

  private synchronized void checkLease() {
    if (leaseEnd > lapsedLeaseEnd && clock() > leaseEnd) {
      lapsedLeaseEnd = leaseEnd;
      lapses.add(new Lapse(now()));
      deployment.record.line("%s lease lapsed with %d running", id, running.size());
      for (Run run : List.copyOf(running.values())) {
        end(run, "lapsed");
      }
    }
  }
}
