package review3;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The platform's list of machines; no case has moves or upkeeps. */
final class Cloud {
  final String address;
  private final Record record;
  private final HttpServer server;
  private final List<Object> machines = new ArrayList<>();

  Cloud(String ip, int port, Record record) throws IOException {
    this.address = ip + ":" + port;
    this.record = record;
    this.server = Web.serve(ip, port, this::handle);
  }

  synchronized void add(String machine, String pool, Runner runner) {
    machines.add(
        Json.map(
            "machine", machine, "pool", pool, "state", "up", "zone", "tamar",
            "labels", runner.labels(),
            "capacity", Json.map("cpu", Runner.CPU, "mem_mb", Runner.MEM_MB, "gpu", 0),
            "id", runner.id));
  }

  private synchronized Web.Answer handle(
      String method, String path, Map<String, String> headers, String body) {
    if (path.startsWith("/machines")) {
      return new Web.Answer(200, Json.write(Json.map("machines", machines, "next_token", "")));
    }
    record.line("platform gets %s %s, which no case needs", path, body);
    return new Web.Answer(409, "{\"reason\":\"busy\"}");
  }

  void stop() {
    server.stop(0);
  }
}
