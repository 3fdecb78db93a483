import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The project's own programs as separate processes on loopback addresses, started with the commands
 * of the deploy file and with settings like those of a small deployment.
 */
final class Deployment implements AutoCloseable {
  static final int CONTROLS = 3;
  /** The host name of all queues, which the Host header of a client's request gives. */
  static final String HOST = "queue.example";

  static final String ENTRY_IP = "127.0.0.9";
  static final String SECOND_ENTRY_IP = "127.0.0.10";

  final Record record;
  final int controlPort;
  final int entryPort;
  private final Path folder;
  private final Path repository;
  private final String commonSettings;
  private final Map<String, Process> processes = new LinkedHashMap<>();
  private final HttpClient http =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .followRedirects(HttpClient.Redirect.NEVER)
          .connectTimeout(Duration.ofSeconds(1))
          .build();

  Deployment(Record record, String platformAddress) throws IOException {
    this(record, platformAddress, "");
  }

  Deployment(Record record, String platformAddress, String adviser) throws IOException {
    this.record = record;
    this.repository = Path.of("").toAbsolutePath();
    this.folder = Files.createTempDirectory(repository.resolve("review/target"), "case-");
    List<Integer> ports = freePorts(5);
    this.controlPort = ports.get(0);
    this.entryPort = ports.get(2);
    StringBuilder seeds = new StringBuilder();
    for (int number = 1; number <= CONTROLS; number++) {
      seeds.append(seeds.length() == 0 ? "" : ",").append(controlAddress(number));
    }
    this.commonSettings =
        String.join(
                "\n",
                "internal_ports=" + ports.get(1) + "," + ports.get(1),
                "metrics_port=" + ports.get(3),
                "seed_nodes=" + seeds,
                "bootstrap=true",
                "fault_tolerance.machines=1",
                "heartbeat_ms=1500",
                "bounds.contact_ms=3000",
                "bounds.ack_timeout_ms=4000",
                "bounds.drain_ms=2000",
                "bounds.grace_s=6",
                "bounds.config_apply_ms=2000",
                "bounds.max_hold_ms=6000",
                "bounds.stop_timeout_ms=900",
                "bounds.cancel_ms=3000",
                "bounds.visible_ms=3000",
                "bounds.finish_s=14",
                "bounds.status_s=120",
                "bounds.notice_ms=4500",
                "bounds.migration_s=1.5",
                "bounds.maintenance_s=2",
                "bounds.lease_ms=3000",
                "bounds.fencing_enforced=false",
                "cloud_api.address=" + platformAddress,
                "advice=" + adviser)
            + "\n";
    Runtime.getRuntime()
        .addShutdownHook(new Thread(() -> processes.values().forEach(Process::destroyForcibly)));
    for (int number = 1; number <= CONTROLS; number++) {
      startControl(number);
    }
    startEntry("entry", ENTRY_IP, ports.get(4));
    startEntry("entry-2", SECOND_ENTRY_IP, ports.get(4));
  }

  static List<Integer> freePorts(int count) throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    List<Integer> ports = new ArrayList<>();
    for (int number = 0; number < count; number++) {
      ServerSocket socket = new ServerSocket();
      socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
      sockets.add(socket);
      ports.add(socket.getLocalPort());
    }
    for (ServerSocket socket : sockets) {
      socket.close();
    }
    return ports;
  }

  String controlAddress(int number) {
    return "127.0.0." + number + ":" + controlPort;
  }

  void startControl(int number) throws IOException {
    String name = "control-" + number;
    Path data = Files.createDirectories(folder.resolve(name));
    start(
        name,
        "control",
        "ip=127.0.0." + number + "\nlisten_addrs.control_plane=" + controlAddress(number)
            + "\ndata_dir=" + data + "\n");
  }

  private void startEntry(String name, String ip, int readinessPort) throws IOException {
    start(
        name,
        "entry",
        "ip=" + ip + "\nlisten_addrs.frontend=" + ip + ":" + entryPort
            + "\nlisten_addrs.readiness=" + ip + ":" + readinessPort + "\n");
  }

  /** Starts a role with the command of the deploy file, in the repository's root. */
  private void start(String name, String role, String settings) throws IOException {
    Path file = folder.resolve(name + ".conf");
    Files.writeString(file, settings + commonSettings);
    String deploy = Files.readString(repository.resolve("deploy/system.toml"));
    Matcher run =
        Pattern.compile("\\[roles\\." + role + "\\][^\\[]*?run = \"([^\"]*)\"", Pattern.DOTALL)
            .matcher(deploy);
    if (!run.find()) {
      throw new IOException("deploy/system.toml has no command for " + role);
    }
    ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
    builder.directory(repository.toFile());
    builder.environment().put("VERBENAWHEEL_NODE_FILE", file.toString());
    builder
        .redirectErrorStream(true)
        .redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
    processes.put(name, builder.start());
  }

  /** Sends a signal such as STOP, CONT, TERM or KILL to a process of this deployment. */
  void signal(String name, String signal) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + signal, Long.toString(processes.get(name).pid()))
        .start()
        .waitFor();
    record.write("signal " + signal + " to " + name);
  }

  /** The status and body of an answer; status 0 if there was none. */
  record Answer(int status, String body) {}

  /** Sends to the entry, as a client does. */
  Answer entry(String method, String path, String body) {
    return entry(method, path, body, 4_000);
  }

  /** Sends to the entry, as a client that gives up after a time. */
  Answer entry(String method, String path, String body, int patienceMs) {
    return exchange(
        method, "http://" + ENTRY_IP + ":" + entryPort + path, body, patienceMs, 0);
  }

  /** Sends to the second entry, as a client does. */
  Answer secondEntry(String method, String path, String body) {
    return exchange(
        method, "http://" + SECOND_ENTRY_IP + ":" + entryPort + path, body, 4_000, 0);
  }

  /** Sends to the control processes in turn until one answers, following up to two redirects. */
  Answer control(String method, String path, String body) {
    Answer last = new Answer(0, "");
    for (int number = 1; number <= CONTROLS; number++) {
      last = exchange(method, "http://" + controlAddress(number) + path, body, 1_000, 2);
      if (last.status() >= 200 && last.status() < 500) {
        return last;
      }
    }
    return last;
  }

  Answer exchange(String method, String url, String body, int timeoutMs, int redirects) {
    try {
      HttpRequest.Builder request =
          HttpRequest.newBuilder(URI.create(url))
              .timeout(Duration.ofMillis(timeoutMs))
              .header("Content-Type", "application/json")
              .header("Host", HOST)
              .header("X-Deadline-Ms", "3000")
              .method(method, HttpRequest.BodyPublishers.ofString(body));
      HttpResponse<String> response =
          http.send(request.build(), HttpResponse.BodyHandlers.ofString());
      if (response.statusCode() == 307 && redirects > 0) {
        String location = response.headers().firstValue("Location").orElse("");
        return exchange(method, location, body, timeoutMs, redirects - 1);
      }
      return new Answer(response.statusCode(), response.body());
    } catch (IOException failure) {
      return new Answer(0, String.valueOf(failure));
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return new Answer(0, "interrupted");
    }
  }

  /** Installs a configuration, sent again until it is acknowledged. */
  void install(String configuration, int seconds) throws Setup {
    long end = System.nanoTime() + seconds * 1_000_000_000L;
    while (System.nanoTime() < end) {
      if (control("POST", "/Config.Replace", configuration).status() == 200) {
        record.write("configuration acknowledged");
        return;
      }
      Cases.pause(200);
    }
    throw new Setup("the configuration was not acknowledged within " + seconds + " s");
  }

  /** Thrown when a case could not run. */
  static final class Setup extends Exception {
    private static final long serialVersionUID = 1L;

    Setup(String message) {
      super(message);
    }
  }

  @Override
  public void close() {
    processes.values().forEach(Process::destroyForcibly);
    for (Process process : processes.values()) {
      try {
        process.waitFor();
      } catch (InterruptedException interrupted) {
        Thread.currentThread().interrupt();
      }
    }
    if (System.getenv("KEEP") != null) {
      return;
    }
    try (var files = Files.walk(folder)) {
      files
          .sorted((left, right) -> right.compareTo(left))
          .forEach(file -> file.toFile().delete());
    } catch (IOException ignored) {
      // The folder lies under review/target, which the next build may empty.
    }
  }
}
