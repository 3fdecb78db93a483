import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpServer;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;

/** Runs one case by its name; exits with 1 if the rule was broken, 0 if it held, 2 if it could not run. */
final class Cases {
  private static final String CONFIGURATION =
      configuration(1, route("r", "/q/") + "," + route("t", "/t/"));

  private Cases() {}

  private static String configuration(int version, String routes) {
    return "{\"version\":" + version + ",\"routes\":[" + routes + "],"
          + "\"services\":[{\"name\":\"s\",\"health_path\":\"/healthz\",\"max_connections\":64,"
          + "\"protocol\":\"h1\",\"tls\":false,\"admission_check\":true,\"standby\":false}],"
          + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
          + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
  }

  private static String route(String name, String prefix) {
    return "{\"name\":\"" + name + "\",\"host\":\"" + Deployment.HOST + "\",\"path_prefix\":\"" + prefix
        + "\",\"kind\":\"non_idempotent\",\"timeout_ms\":3000,\"target_latency_ms\":600,"
        + "\"priority\":0,\"service\":\"s\",\"max_attempts\":4,\"stretch\":1.6}";
  }

  public static void main(String[] arguments) throws Exception {
    // Clients address a queue by the Host header, which the HTTP client sets by itself otherwise.
    System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
    boolean trouble = !arguments[2].equals("0");
    int code = 2;
    try (Record record = new Record(Path.of(arguments[1]))) {
      try {
        code =
            switch (arguments[0]) {
              case "foreign-report" -> foreignReport(record, trouble);
              case "wide-submission" -> wideSubmission(record, trouble);
              case "removed-queue" -> removedQueue(record, trouble);
              default -> throw new IllegalArgumentException("no such case: " + arguments[0]);
            };
      } catch (Deployment.Setup notRun) {
        record.write("could not run: " + notRun.getMessage());
      } catch (Exception failure) {
        record.write("could not run: " + failure);
      }
      record.write("exit " + code);
    }
    Runtime.getRuntime().halt(code);
  }

  static void pause(long milliseconds) {
    try {
      Thread.sleep(milliseconds);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  /** The platform's list of machines, which this configuration (no standby, no wave) needs little. */
  private static HttpServer platform() throws java.io.IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.7", 0), 16);
    server.createContext(
        "/",
        exchange -> {
          byte[] bytes = "{\"machines\":[],\"next_token\":\"\"}".getBytes(StandardCharsets.UTF_8);
          exchange.sendResponseHeaders(200, bytes.length);
          exchange.getResponseBody().write(bytes);
          exchange.close();
        });
    server.start();
    return server;
  }

  private static String address(HttpServer server) {
    return "127.0.0.7:" + server.getAddress().getPort();
  }

  /** An advice service that approves every worker, with a ticket for the step and the worker. */
  private static HttpServer adviser(Record record) throws java.io.IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.7", 0), 16);
    server.createContext(
        "/advise",
        exchange -> {
          JsonNode question = Runners.MAPPER.readTree(exchange.getRequestBody().readAllBytes());
          StringBuilder rows = new StringBuilder();
          for (JsonNode worker : question.path("workers")) {
            rows.append(rows.length() == 0 ? "" : ",")
                .append("[\"" + worker.asText() + "\",\"")
                .append(Runners.ticket(question.path("step").asText(), worker.asText()) + "\"]");
          }
          pause(20 + question.path("workers").size());
          record.write("advice on " + question);
          byte[] bytes = ("{\"approved\":[" + rows + "]}").getBytes(StandardCharsets.UTF_8);
          exchange.sendResponseHeaders(200, bytes.length);
          exchange.getResponseBody().write(bytes);
          exchange.close();
        });
    server.start();
    return server;
  }

  private static void submit(
      Deployment deployment, String path, int tasks, int millicores, int estimateMs)
      throws Deployment.Setup {
    String body =
        "{\"spec\":\"work\",\"steps\":[{\"count\":" + tasks + ",\"cpu\":" + millicores
            + ",\"mem_mb\":1,\"estimate_ms\":" + estimateMs + "}]}";
    for (int attempt = 0; attempt < 50; attempt++) {
      Deployment.Answer answer = deployment.entry("POST", path, body);
      deployment.record.write("POST " + path + " " + body + " -> " + answer.status());
      if (answer.status() == 200) {
        return;
      }
      pause(200);
    }
    throw new Deployment.Setup("the submission was not accepted");
  }

  private static void awaitStarts(Runners runners, int count) throws Deployment.Setup {
    for (int waited = 0; runners.starts() < count; waited++) {
      if (waited > 200) {
        throw new Deployment.Setup("the subtasks did not start");
      }
      pause(50);
    }
  }

  /** A report that names no service of the configuration has the address of a live runner. */
  private static int foreignReport(Record record, boolean trouble) throws Exception {
    HttpServer platform = platform();
    try (Deployment deployment = new Deployment(record, address(platform));
        Runners runners = new Runners(record)) {
      deployment.install(CONFIGURATION, 30);
      runners.add(deployment, "i-1", "s", 8_000);
      runners.add(deployment, "i-2", "s", 8_000);
      pause(3_000);
      submit(deployment, "/q/00000000000000a1", 12, 2_000, 8_000);
      awaitStarts(runners, 12);
      pause(1_000);
      if (trouble) {
        String body =
            Runners.report(
                "not-named-here", runners.atWorkAddress(), System.currentTimeMillis(), 1, "m-other");
        Deployment.Answer answer =
            deployment.control("POST", "/Instances.Heartbeat/i-other", body);
        record.write("report of i-other " + body + " -> " + answer.status());
      }
      pause(12_000);
      Deployment.Answer state = deployment.entry("GET", "/q/00000000000000a1", "");
      record.write("GET /q/00000000000000a1 -> " + state.status() + " " + state.body());
      List<String> broken = runners.broken();
      return broken.isEmpty() ? 0 : 1;
    } finally {
      platform.stop(0);
    }
  }

  /**
   * A submission with many small subtasks is accepted, then the runners come and have room for all
   * of them. Judged as LOST is: finish_s after the end of the traffic, for 3 s, nothing of an
   * accepted submission runs while its turn has come and the service is idle.
   */
  private static int wideSubmission(Record record, boolean trouble) throws Exception {
    int count = trouble ? 20_000 : 100;
    List<String> paths = List.of("/q/00000000000000b1", "/t/00000000000000b2");
    HttpServer platform = platform();
    try (Deployment deployment = new Deployment(record, address(platform));
        Runners runners = new Runners(record)) {
      deployment.install(CONFIGURATION, 30);
      submit(deployment, paths.get(0), count, 1, 500);
      submit(deployment, paths.get(1), 2, 1_000, 500);
      record.write("end of the traffic");
      runners.add(deployment, "i-7f3a91c2", "s", 500);
      runners.add(deployment, "i-0b8d44e7", "s", 500);
      pause(17_000);
      int startsBefore = runners.starts();
      boolean atWork = false;
      for (int look = 0; look < 30; look++) {
        atWork |= runners.atWork() > 0;
        pause(100);
      }
      boolean idle = !atWork && runners.starts() == startsBefore;
      boolean open = false;
      for (String path : paths) {
        Deployment.Answer state = deployment.entry("GET", path, "");
        record.write("GET " + path + " -> " + state.status() + " " + state.body());
        open |= !state.body().contains("completed");
      }
      record.write(
          "starts in all: " + runners.starts() + "; idle for 3 s: " + idle + "; unfinished: " + open);
      return idle && open ? 1 : 0;
    } finally {
      platform.stop(0);
    }
  }

  /**
   * A queue with advice is removed from the config while a submission to it is at work. Judged as
   * LOST is: for 3 s, nothing of the submission runs while a subtask's turn has come and the
   * service is idle.
   */
  private static int removedQueue(Record record, boolean trouble) throws Exception {
    HttpServer platform = platform();
    HttpServer adviser = adviser(record);
    String advised =
        route("a", "/a/").replace(
            "\"stretch\":1.6",
            "\"stretch\":1.6,\"advice\":{\"decision_ms\":20,\"period_ms\":1,"
                + "\"validity_ms\":5000}");
    try (Deployment deployment = new Deployment(record, address(platform), address(adviser));
        Runners runners = new Runners(record)) {
      deployment.install(configuration(1, route("r", "/q/") + "," + advised), 30);
      runners.requireTickets();
      runners.add(deployment, "i-7f3a91c2", "s", 2_000);
      runners.add(deployment, "i-0b8d44e7", "s", 2_000);
      pause(3_000);
      String body =
          "{\"spec\":\"work\",\"steps\":[{\"count\":2,\"cpu\":1000,\"mem_mb\":100,"
              + "\"estimate_ms\":2000},{\"count\":3,\"cpu\":1000,\"mem_mb\":100,"
              + "\"estimate_ms\":2000,\"depends_on\":[0]}]}";
      Deployment.Answer answer = deployment.entry("POST", "/a/00000000000000d1", body);
      record.write("POST /a/00000000000000d1 " + body + " -> " + answer.status());
      if (answer.status() != 200) {
        return 2;
      }
      awaitStarts(runners, 2);
      String routes = trouble ? route("r", "/q/") : route("r", "/q/") + "," + advised;
      deployment.install(configuration(2, routes), 10);
      pause(17_000);
      int startsBefore = runners.starts();
      boolean atWork = false;
      for (int look = 0; look < 30; look++) {
        atWork |= runners.atWork() > 0;
        pause(100);
      }
      Deployment.Answer state = deployment.entry("GET", "/a/00000000000000d1", "");
      record.write("GET /a/00000000000000d1 -> " + state.status() + " " + state.body());
      record.write("starts " + runners.starts() + " of 5 subtasks; runs at work: " + atWork);
      return !atWork && runners.starts() == startsBefore && runners.starts() < 5 ? 1 : 0;
    } finally {
      platform.stop(0);
      adviser.stop(0);
    }
  }
}
