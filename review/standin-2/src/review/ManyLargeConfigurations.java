package review;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.http.HttpClient;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The configuration has grown by many routes, and an operator changes it some hundred times. The
 * control processes keep every change in memory and on disk until their heaps are full.
 */
final class ManyLargeConfigurations extends Case {
  private static final String HOST = "desk.example";
  private static final int ROUTES = 8 + 3 * 350;
  private static final int STORMS = 26;
  private static final int CHANGES_IN_STORM = 25;
  private static final long GAP_MS = 80;
  private static final long PAUSE_MS = 300;
  private static final int IN_PROGRESS = 8;
  private static final long SENDING_ENDS_AT_MS = 70_000;
  private static final long RECOVERY_MS = 12_000;
  private static final long READING_MS = 6_000;
  private static final Duration TIMEOUT = Duration.ofSeconds(3);
  private final HttpClient operator = Web.client();
  private final AtomicLong acknowledged = new AtomicLong();
  private final AtomicLong acknowledgedChanges = new AtomicLong();
  private final AtomicLong lastAcknowledgementAt = new AtomicLong();
  private final AtomicBoolean over = new AtomicBoolean();

  public static void main(String[] arguments) {
    run(new ManyLargeConfigurations(), arguments);
  }

  @Override
  boolean play() throws Exception {
    new Runner(
        deployment, 1, "desk", 32_000, 65_536, (runner, task, run) -> new Runner.Plan(500, "done"),
        null);
    deployment.install(Configurations.of(1, HOST, List.of("desk")));
    deployment.awaitEntry();
    Deployment.pause(3_000);
    String job = Configurations.id(1);
    Jobs.put(job, 0, 1_000, 1_000, false);
    if (!deployment.submit(
        HOST, "/desk/" + job, Configurations.job("a job", Configurations.step(4, 1_000, 1_000, 500)))) {
      throw new Deployment.CannotRunException("the job was not accepted");
    }
    Thread platform = new Thread(this::restartEnded, "platform");
    platform.setDaemon(true);
    platform.start();
    int routes = trouble ? ROUTES : 8;
    record.line("a configuration has %d bytes", configuration(2, routes).length());
    long newest = sendStorms(routes);
    record.line(
        "%d changes sent, %d acknowledged, the newest is version %d",
        newest - 1, acknowledgedChanges.get(), acknowledged.get());
    Deployment.pause(RECOVERY_MS);
    boolean read = readBack();
    Web.Answer state = deployment.request("GET", HOST, "/desk/" + job, "");
    for (int attempt = 0; attempt < 4 && !state.isSuccess(); attempt++) {
      Deployment.pause(500);
      state = deployment.request("GET", HOST, "/desk/" + job, "");
    }
    for (int number = 1; number <= Deployment.CONTROLS; number++) {
      record.line(
          "control-%d: process alive %s, files %d bytes",
          number, deployment.isControlAlive(number), deployment.dataBytes(number));
    }
    over.set(true);
    if (!read) {
      record.line("CONFIG: the configuration of version %d is not read back", acknowledged.get());
    }
    if (!state.isSuccess()) {
      record.line("LOST: an accepted submission gets no answer");
    }
    return !read || !state.isSuccess();
  }

  /** Sends the storms, eight changes in progress at most; returns the newest version sent. */
  private long sendStorms(int routes) throws InterruptedException {
    ExecutorService sending = Executors.newFixedThreadPool(IN_PROGRESS);
    long version = 1;
    lastAcknowledgementAt.set(record.now());
    for (int storm = 0; storm < STORMS; storm++) {
      if (record.now() > SENDING_ENDS_AT_MS
          || record.now() > lastAcknowledgementAt.get() + 10_000) {
        break;
      }
      for (int change = 0; change < CHANGES_IN_STORM; change++) {
        version++;
        long sent = version;
        sending.execute(() -> send(sent, configuration(sent, routes)));
        Deployment.pause(GAP_MS);
      }
      Deployment.pause(PAUSE_MS);
      record.line(
          "storm %d is over: newest sent %d, %d acknowledged",
          storm + 1, version, acknowledgedChanges.get());
    }
    sending.shutdown();
    if (!sending.awaitTermination(10, TimeUnit.SECONDS)) {
      sending.shutdownNow();
    }
    return version;
  }

  /** Sends one change to one node after the other until it is acknowledged, six times at most. */
  private void send(long version, String body) {
    for (int attempt = 0; attempt < 6; attempt++) {
      String address =
          deployment.controlAddress((int) ((version + attempt) % Deployment.CONTROLS) + 1);
      Web.Answer answer =
          deployment.callControl(operator, "POST", address, "/Config.Replace", body, "", TIMEOUT);
      if (answer.isSuccess()) {
        acknowledged.accumulateAndGet(version, Math::max);
        acknowledgedChanges.incrementAndGet();
        lastAcknowledgementAt.set(record.now());
        return;
      }
      record.line("version %d -> %d %s", version, answer.status(), answer.body());
      Deployment.pause(200L << attempt);
    }
  }

  private boolean readBack() {
    long end = record.now() + READING_MS;
    for (int number = 1; record.now() < end; number = number % Deployment.CONTROLS + 1) {
      Web.Answer answer =
          deployment.callControl(
              operator, "GET", deployment.controlAddress(number), "/Config.Read", "", "", TIMEOUT);
      if (answer.status() == 200) {
        long version = Json.parse(answer.body().getBytes()).path("version").asLong();
        record.line("version %d is read back from control-%d", version, number);
        return version >= acknowledged.get();
      }
      record.line("control-%d: read -> %d", number, answer.status());
      Deployment.pause(300);
    }
    return false;
  }

  /** Starts the processes that end by themselves again, as the platform does. */
  private void restartEnded() {
    while (!over.get()) {
      Deployment.pause(200);
      for (int number = 1; number <= Deployment.CONTROLS && !over.get(); number++) {
        if (!deployment.isControlAlive(number)) {
          record.line("control-%d has ended by itself", number);
          Deployment.pause(500);
          try {
            deployment.startControl(number, false);
          } catch (java.io.IOException failed) {
            record.line("cannot start control-%d: %s", number, failed);
          }
        }
      }
    }
  }

  /** Returns a version: its changes are to the time-outs. */
  private static String configuration(long version, int routes) {
    ObjectNode root =
        (ObjectNode) Json.parse(Configurations.of(version, HOST, List.of("desk")).getBytes());
    ArrayNode list = (ArrayNode) root.get("routes");
    for (int number = 1; number < routes; number++) {
      list.addObject()
          .put("name", "r-" + number)
          .put("host", "jepu9.example")
          .put("path_prefix", "/idle" + number + "/")
          .put("kind", "non_idempotent")
          .put("timeout_ms", 3_000 + version % 50)
          .put("target_latency_ms", 600)
          .put("priority", 0)
          .put("service", "desk")
          .put("max_attempts", 4)
          .put("stretch", 1.6);
    }
    return Json.text(root);
  }
}
