package review;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.http.HttpClient;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Stream;

/**
 * A small deployment on loopback addresses: three control processes, one entry, the platform's list
 * of machines, an operator and a client. The processes are started with the commands of the deploy
 * file.
 */
final class Deployment implements AutoCloseable {
  static final int CONTROLS = 3;
  static final int ENTRIES = 2;
  private static final int FIRST_ENTRY_HOST = 50;
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration CLIENT_TIMEOUT = Duration.ofSeconds(3);
  private static final int CLIENT_ATTEMPTS = 5;
  final Record record;
  private final Path folder;
  private final String network;
  private final int controlPort;
  private final int peerPort;
  private final int entryPort;
  private final int readinessPort;
  private final int metricsPort;
  private final int platformPort;
  private final HttpServer platform;
  private final HttpClient client = Web.client();
  private final Map<String, Process> processes = new ConcurrentHashMap<>();
  private final Map<String, Runner> runners = new LinkedHashMap<>();

  Deployment(Record record) throws IOException {
    this.record = record;
    this.folder = Files.createTempDirectory("review");
    ThreadLocalRandom random = ThreadLocalRandom.current();
    this.network = "127." + random.nextInt(20, 120) + "." + random.nextInt(1, 250) + ".";
    List<Integer> ports = freePorts(6);
    this.controlPort = ports.get(0);
    this.peerPort = ports.get(1);
    this.entryPort = ports.get(2);
    this.readinessPort = ports.get(3);
    this.metricsPort = ports.get(4);
    this.platformPort = ports.get(5);
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    this.platform =
        Web.serve(network + "200:" + platformPort, (exchange, body) -> listMachines());
    for (int number = 1; number <= CONTROLS; number++) {
      startControl(number, true);
    }
    for (int number = 1; number <= ENTRIES; number++) {
      start("entry-" + number, entrySettings(number));
    }
  }

  private static List<Integer> freePorts(int count) throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    List<Integer> ports = new ArrayList<>();
    for (int number = 0; number < count; number++) {
      ServerSocket socket = new ServerSocket(0);
      sockets.add(socket);
      ports.add(socket.getLocalPort());
    }
    for (ServerSocket socket : sockets) {
      socket.close();
    }
    return ports;
  }

  /** Returns an address for one more runner. */
  String runnerAddress(int number) throws IOException {
    String ip = network + (100 + number);
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
      return ip + ":" + socket.getLocalPort();
    }
  }

  void add(Runner runner) {
    synchronized (runners) {
      runners.put(runner.id, runner);
    }
  }

  private Web.Answer listMachines() {
    ObjectNode answer = Json.object();
    ArrayNode machines = answer.putArray("machines");
    synchronized (runners) {
      for (Runner runner : runners.values()) {
        if (!runner.hasLeft()) {
          machines.add(runner.machineEntry());
        }
      }
    }
    answer.put("next_token", "");
    return new Web.Answer(200, Json.text(answer), "");
  }

  String controlAddress(int number) {
    return network + number + ":" + controlPort;
  }

  void startControl(int number, boolean bootstrap) throws IOException {
    String ip = network + number;
    Path data = Files.createDirectories(folder.resolve("data-" + number));
    start(
        "control-" + number,
        "role=control\nmachine_class=core\nserves=control_plane\nfault_counted=true\n"
            + common(ip, "z" + number, bootstrap)
            + "listen_addrs.control_plane="
            + controlAddress(number)
            + "\nlimits.disk_mb=128\ndata_dir="
            + data
            + "\n");
  }

  private String entryIp(int number) {
    return network + (FIRST_ENTRY_HOST + number);
  }

  private String entrySettings(int number) {
    String ip = entryIp(number);
    return "role=entry\nmachine_class=frontend\nserves=frontend\nfault_counted=false\n"
        + common(ip, "z1", true)
        + "listen_addrs.frontend="
        + ip
        + ":"
        + entryPort
        + "\nlisten_addrs.readiness="
        + ip
        + ":"
        + readinessPort
        + "\nlimits.disk_mb=0\n";
  }

  /** Returns the settings that all processes share: those of the page, for one loss of a machine. */
  private String common(String ip, String zone, boolean bootstrap) {
    List<String> seeds = new ArrayList<>();
    for (int number = 1; number <= CONTROLS; number++) {
      seeds.add(controlAddress(number));
    }
    return String.join(
        "\n",
        "node_name=" + ip,
        "ip=" + ip,
        "zone=" + zone,
        "region=r",
        "zones.z1=r",
        "zones.z2=r",
        "zones.z3=r",
        "internal_ports=" + peerPort + "," + peerPort,
        "metrics_port=" + metricsPort,
        "seed_nodes=" + String.join(",", seeds),
        "bootstrap=" + bootstrap,
        "limits.cpu_share=0.75",
        "limits.cores=1",
        "limits.memory_mb=430",
        "limits.max_fds=4100",
        "limits.link_mbps=1000.0",
        "discovery=registry",
        "entry=vip",
        "heartbeat_ms=1500",
        "contracts=base,drain,config,cost,recover,sched,advice,upkeep,sharing",
        "fault_tolerance.machines=1",
        "fault_tolerance.zones=0",
        "fault_tolerance.regions=0",
        "bounds.seed_lag_s=3",
        "bounds.addr_reuse_s=2",
        "bounds.contact_ms=3000",
        "bounds.ack_timeout_ms=4000",
        "bounds.catch_up_s=4",
        "bounds.drain_ms=2000",
        "bounds.grace_s=6",
        "bounds.loss_slack_ms=200",
        "bounds.config_apply_ms=2000",
        "bounds.regression_ms=250",
        "bounds.max_stretch_ms=5000",
        "bounds.recovery_s=12",
        "bounds.max_hold_ms=6000",
        "bounds.stop_timeout_ms=900",
        "bounds.gang_timeout_ms=3000",
        "bounds.cancel_ms=3000",
        "bounds.visible_ms=3000",
        "bounds.early_ms=250",
        "bounds.finish_s=14",
        "bounds.status_s=120",
        "bounds.remote_factor=2",
        "bounds.checkpoint_s=1",
        "bounds.restore_ms=250",
        "bounds.notice_ms=4500",
        "bounds.migration_s=1.5",
        "bounds.maintenance_s=2",
        "bounds.fencing_enforced=false",
        "bounds.lease_ms=3000",
        "bounds.thaw_slack_ms=300",
        "bounds.rate_window_ms=100",
        "bounds.interference_ms=4000",
        "config_mode=highest",
        "command_mode=push",
        "advice=",
        "cloud_api.address=" + network + "200:" + platformPort,
        "cloud_api.rate_per_s=64.0",
        "cloud_api.duties=",
        "cloud_api.duty_per_s=64.0",
        "");
  }

  private void start(String name, String settings) throws IOException {
    Path file = folder.resolve(name + ".conf");
    Files.writeString(file, settings);
    String role = name.startsWith("entry") ? "entry" : "control";
    ProcessBuilder builder = new ProcessBuilder(commandOf(role).split(" "));
    builder.environment().put("VERBENAWHEEL_NODE_FILE", file.toString());
    builder
        .redirectErrorStream(true)
        .redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
    Process process = builder.start();
    processes.put(name, process);
    record.line("start %s pid %d", name, process.pid());
  }

  /** Returns the command of a role in the deploy file. */
  private static String commandOf(String role) throws IOException {
    boolean inRole = false;
    for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
      if (line.startsWith("[")) {
        inRole = line.strip().equals("[roles." + role + "]");
      } else if (inRole && line.startsWith("run = \"")) {
        return line.substring("run = \"".length(), line.lastIndexOf('"'));
      }
    }
    throw new IOException("deploy/system.toml has no command for " + role);
  }

  void killControl(int number) throws InterruptedException {
    record.line("SIGKILL control-%d", number);
    processes.get("control-" + number).destroyForcibly().waitFor();
  }

  /** Sends a signal, such as STOP or CONT, to an entry. */
  void signalEntry(int number, String signal) throws IOException, InterruptedException {
    record.line("SIG%s entry-%d", signal, number);
    long pid = processes.get("entry-" + number).pid();
    new ProcessBuilder("kill", "-" + signal, Long.toString(pid)).start().waitFor();
  }

  boolean isControlAlive(int number) {
    return processes.get("control-" + number).isAlive();
  }

  /** Returns the length of a control process's files. */
  long dataBytes(int number) throws IOException {
    try (Stream<Path> files = Files.walk(folder.resolve("data-" + number))) {
      return files.map(Path::toFile).filter(java.io.File::isFile).mapToLong(java.io.File::length).sum();
    }
  }

  /** Returns the number of the control process that answers a read of the configuration itself. */
  int leader() {
    for (int number = 1; number <= CONTROLS; number++) {
      Web.Answer answer =
          Web.send(
              client,
              "GET",
              "http://" + controlAddress(number) + "/Config.Read",
              "",
              "",
              Duration.ofMillis(400));
      if (answer.status() == 200) {
        return number;
      }
    }
    return 0;
  }

  int awaitLeader(long milliseconds) {
    long end = record.now() + milliseconds;
    while (record.now() < end) {
      int leader = leader();
      if (leader > 0) {
        return leader;
      }
      pause(50);
    }
    return 0;
  }

  /** Sends an order or report to a control process and follows redirects twice. */
  Web.Answer callControl(HttpClient caller, String method, String address, String path, String body) {
    return callControl(caller, method, address, path, body, "", CALL_TIMEOUT);
  }

  /** The same for a caller that cannot open a channel to one address. */
  Web.Answer callControl(
      HttpClient caller,
      String method,
      String address,
      String path,
      String body,
      String cutFrom,
      Duration timeout) {
    Web.Answer answer = new Web.Answer(307, "", "http://" + address + path);
    for (int hop = 0; hop < 3 && answer.status() == 307; hop++) {
      if (!cutFrom.isEmpty() && answer.location().contains("//" + cutFrom + "/")) {
        pause(timeout.toMillis());
        return new Web.Answer(0, "no answer within a second", "");
      }
      answer = Web.send(caller, method, answer.location(), "", body, timeout);
    }
    return answer;
  }

  /** Installs a configuration as an operator does: at one node after the other until accepted. */
  void install(String configuration) throws CannotRunException {
    for (int attempt = 0; attempt < 200; attempt++) {
      String address = controlAddress(attempt % CONTROLS + 1);
      Web.Answer answer = callControl(client, "POST", address, "/Config.Replace", configuration);
      if (answer.isSuccess()) {
        record.line("configuration accepted");
        return;
      }
      pause(200);
    }
    throw new CannotRunException("no node accepted the configuration");
  }

  void awaitEntry() throws CannotRunException {
    for (int number = 1; number <= ENTRIES; number++) {
      awaitEntry(number);
    }
  }

  private void awaitEntry(int number) throws CannotRunException {
    String url = "http://" + entryIp(number) + ":" + readinessPort + "/readyz";
    for (int attempt = 0; attempt < 200; attempt++) {
      if (Web.send(client, "GET", url, "", "", CALL_TIMEOUT).status() == 200) {
        return;
      }
      pause(200);
    }
    throw new CannotRunException("entry " + number + " did not get ready");
  }

  /** Sends one request of a client to the first entry. */
  Web.Answer request(String method, String host, String path, String body) {
    return request(1, method, host, path, body, CLIENT_TIMEOUT);
  }

  /** Sends one request of a client, which leaves at the timeout. */
  Web.Answer request(
      int entry, String method, String host, String path, String body, Duration timeout) {
    Web.Answer answer =
        Web.send(
            client, method, "http://" + entryIp(entry) + ":" + entryPort + path, host, body,
            timeout);
    record.line(
        "client %s %s%s at entry %d -> %d %s",
        method, host, path, entry, answer.status(), answer.body());
    return answer;
  }

  /** Submits a job as a client does: again under the same id after an answer that is not clear. */
  boolean submit(String host, String path, String body) {
    for (int attempt = 0; attempt < CLIENT_ATTEMPTS; attempt++) {
      Web.Answer answer = request("POST", host, path, body);
      if (answer.isSuccess()) {
        return true;
      }
      pause(300);
    }
    return false;
  }

  static void pause(long milliseconds) {
    try {
      Thread.sleep(Math.max(0, milliseconds));
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public synchronized void close() {
    synchronized (runners) {
      runners.values().forEach(Runner::close);
    }
    processes.values().forEach(Process::destroyForcibly);
    platform.stop(0);
    if ("1".equals(System.getenv("KEEP"))) {
      return;
    }
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    } catch (IOException alreadyDeleted) {
      // Closed twice: by the case and by the shutdown hook.
    }
  }

  /** Thrown when a case cannot run, which says nothing about the rule. */
  static final class CannotRunException extends Exception {
    private static final long serialVersionUID = 1L;

    CannotRunException(String message) {
      super(message);
    }
  }
}
