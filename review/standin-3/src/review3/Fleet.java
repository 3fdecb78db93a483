package review3;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A small installation: the project's processes, a platform, and runners in pools. */
final class Fleet implements AutoCloseable {
  static final String HOST = "pule25.example";

  final Deployment deployment;
  final Cloud cloud;
  final List<Runner> runners = new ArrayList<>();
  final Record record;
  private final Runner.Fates fates;
  private int runnerNumber;

  Fleet(Deployment deployment, Record record, Runner.Fates fates) throws Exception {
    this.deployment = deployment;
    this.record = record;
    this.fates = fates;
    this.cloud = new Cloud(deployment.newIp(), Deployment.freePort(), record);
  }

  /** Adds a machine with its runner. */
  Runner add(String machine, String pool, String rack) throws Exception {
    return add(machine, pool, "a", rack);
  }

  Runner add(String machine, String pool, String kind, String rack) throws Exception {
    runnerNumber++;
    Runner runner =
        new Runner(
            "i-" + runnerNumber,
            machine,
            pool,
            deployment.newIp(),
            Deployment.freePort(),
            List.of(kind, rack),
            fates,
            deployment::controlAddresses,
            record);
    runners.add(runner);
    cloud.add(machine, pool, runner);
    record.line("runner %s starts on %s in pool %s", runner.id, machine, pool);
    return runner;
  }

  /** A route at /POOL/ to the service POOL. */
  static Map<String, Object> route(String pool) {
    return Json.map(
        "name", "r-" + pool, "host", HOST, "path_prefix", "/" + pool + "/",
        "kind", "non_idempotent", "timeout_ms", 3_000, "target_latency_ms", 2_500,
        "priority", 0, "service", pool, "max_attempts", 4, "stretch", 2.2);
  }

  /** A configuration of routes and their services. */
  @SafeVarargs
  static String configuration(long version, Map<String, Object>... routes) {
    List<Object> services = new ArrayList<>();
    List<Object> listed = new ArrayList<>();
    for (Map<String, Object> route : routes) {
      services.add(service((String) route.get("service")));
      listed.add(route);
    }
    return Json.write(
        Json.map(
            "version", version, "routes", listed, "services", services,
            "limits",
                Json.map(
                    "max_header_bytes", 16_384, "max_body_bytes", 262_144,
                    "header_timeout_ms", 3_000, "idle_timeout_ms", 15_000)));
  }

  private static Map<String, Object> service(String name) {
    return Json.map(
        "name", name, "health_path", "/healthz", "max_connections", 64, "protocol", "h1",
        "tls", false, "admission_check", true, "standby", false);
  }

  /** Sends a request of a client; retries after no answer, 429, 502, 503 and 504. */
  Web.Answer client(String method, String path, String body, int tries) throws Exception {
    return client(method, HOST, path, body, tries);
  }

  Web.Answer client(String method, String host, String path, String body, int tries)
      throws Exception {
    Web.Answer answer = new Web.Answer(0, "");
    for (int number = 0; number < tries; number++) {
      Deployment.Node entry = deployment.entries.get(number % deployment.entries.size());
      answer =
          Web.call(
              method, deployment.frontend(entry), path, body, 3_000,
              Map.of("Host", host, "X-Deadline-Ms", "3000"));
      if (answer.status() != 0 && answer.status() != 429 && answer.status() < 500) {
        break;
      }
      Thread.sleep(150);
    }
    record.line("client %s %s%s: %d %s", method, host, path, answer.status(), answer.body());
    return answer;
  }

  @Override
  public void close() {
    deployment.close();
    cloud.stop();
    for (Runner runner : List.copyOf(runners)) {
      runner.end();
    }
  }
}
