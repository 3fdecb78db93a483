package review;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/** The configuration and the bodies of jobs that the cases send. */
final class Configurations {
  private Configurations() {}

  /** Returns a configuration with one route and one service for each name. */
  static String of(long version, String host, List<String> services) {
    ObjectNode root = Json.object();
    root.put("version", version);
    ArrayNode routes = root.putArray("routes");
    ArrayNode pools = root.putArray("services");
    for (String service : services) {
      routes
          .addObject()
          .put("name", "r-" + service)
          .put("host", host)
          .put("path_prefix", "/" + service + "/")
          .put("kind", "non_idempotent")
          .put("timeout_ms", 3000)
          .put("target_latency_ms", 600)
          .put("priority", 0)
          .put("service", service)
          .put("max_attempts", 4)
          .put("stretch", 1.6);
      pools
          .addObject()
          .put("name", service)
          .put("health_path", "/healthz")
          .put("max_connections", 64)
          .put("protocol", "h1")
          .put("tls", false)
          .put("admission_check", true)
          .put("standby", false);
    }
    root.putObject("limits")
        .put("max_header_bytes", 16384)
        .put("max_body_bytes", 262144)
        .put("header_timeout_ms", 3000)
        .put("idle_timeout_ms", 15000);
    return Json.text(root);
  }

  /** Returns a job of one step. */
  static ObjectNode step(int count, int cpu, int memory, int estimateMilliseconds) {
    return Json.object()
        .put("count", count)
        .put("cpu", cpu)
        .put("mem_mb", memory)
        .put("estimate_ms", estimateMilliseconds);
  }

  static String job(String specification, ObjectNode... steps) {
    ObjectNode root = Json.object().put("spec", specification);
    ArrayNode list = root.putArray("steps");
    for (ObjectNode step : steps) {
      list.add(step);
    }
    return Json.text(root);
  }

  /** Returns a job's id: 16 hexadecimal digits. */
  static String id(int number) {
    return String.format("5c0e7a21%08x", number);
  }
}
