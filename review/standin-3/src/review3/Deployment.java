package review3;

import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** The project's own programs as processes, started with the commands of the deploy file. */
final class Deployment implements AutoCloseable {
  /** One process of the project. */
  static final class Node {
    String name;
    String role;
    String ip;
    Path settings;
    Process process;
  }

  final Path root;
  final Path folder;
  final List<Node> controls = new ArrayList<>();
  final List<Node> entries = new ArrayList<>();
  private final Record record;
  private final String prefix;
  private final int internalPort;
  private final int frontendPort;
  private final int readinessPort;
  private final int controlPort;
  private String cloudAddress = "";
  private int nextHost = 11;

  Deployment(Path root, Record record) throws IOException {
    this.root = root;
    this.record = record;
    Path runs = root.resolve("review/standin-3/target/runs");
    Files.createDirectories(runs);
    this.folder = Files.createTempDirectory(runs, "run-");
    // An own network of loopback addresses, so that ports can be the same on all machines.
    this.prefix = "127." + (64 + (int) (ProcessHandle.current().pid() % 180)) + ".0.";
    this.internalPort = freePort();
    this.frontendPort = freePort();
    this.readinessPort = freePort();
    this.controlPort = freePort();
    // Ends the processes also when the case itself is stopped by a signal.
    Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
  }

  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket()) {
      socket.bind(new InetSocketAddress("127.0.0.1", 0));
      return socket.getLocalPort();
    }
  }

  String newIp() {
    return prefix + nextHost++;
  }

  void start(int controlCount, int entryCount, String cloud) throws IOException {
    cloudAddress = cloud;
    for (int number = 1; number <= controlCount; number++) {
      controls.add(node("core-" + number, "control"));
    }
    for (int number = 1; number <= entryCount; number++) {
      entries.add(node("frontend-" + number, "entry"));
    }
    for (Node node : Stream.concat(controls.stream(), entries.stream()).toList()) {
      writeSettings(node, true);
      launch(node);
    }
  }

  private Node node(String name, String role) {
    Node node = new Node();
    node.name = name;
    node.role = role;
    node.ip = newIp();
    return node;
  }

  List<String> controlAddresses() {
    return controls.stream().map(node -> node.ip + ":" + controlPort).toList();
  }

  String frontend(Node entry) {
    return entry.ip + ":" + frontendPort;
  }

  String readiness(Node entry) {
    return entry.ip + ":" + readinessPort;
  }

  void writeSettings(Node node, boolean bootstrap) throws IOException {
    boolean control = node.role.equals("control");
    String seeds =
        controlAddresses().subList(0, Math.min(3, controls.size())).stream()
            .collect(Collectors.joining(","));
    List<String> lines = new ArrayList<>();
    lines.add("node_name=" + node.name);
    lines.add("role=" + node.role);
    lines.add("machine_class=" + (control ? "core" : "frontend"));
    lines.add("serves=" + (control ? "control_plane" : "frontend"));
    lines.add("ip=" + node.ip);
    lines.add("zone=tamar");
    lines.add("region=tas");
    lines.add("zones.tamar=tas");
    if (control) {
      lines.add("listen_addrs.control_plane=" + node.ip + ":" + controlPort);
      Path data = folder.resolve(node.name);
      Files.createDirectories(data);
      lines.add("data_dir=" + data);
    } else {
      lines.add("listen_addrs.frontend=" + node.ip + ":" + frontendPort);
      lines.add("listen_addrs.readiness=" + node.ip + ":" + readinessPort);
    }
    lines.add("internal_ports=" + internalPort + "," + (internalPort + 15));
    lines.add("seed_nodes=" + seeds);
    lines.add("bootstrap=" + bootstrap);
    lines.add("fault_counted=" + control);
    lines.add("limits.cpu_share=1.0");
    lines.add("limits.cores=1");
    lines.add("limits.memory_mb=430");
    lines.add("limits.max_fds=4096");
    lines.add("limits.disk_mb=" + (control ? 128 : 0));
    lines.add("discovery=registry");
    lines.add("entry=vip");
    lines.add("heartbeat_ms=1500");
    lines.add("contracts=base,drain,config,cost,recover,sched,advice,upkeep,sharing");
    lines.add("fault_tolerance.machines=" + (controls.size() - 1) / 2);
    lines.addAll(
        List.of(
            "bounds.seed_lag_s=3", "bounds.addr_reuse_s=2", "bounds.contact_ms=3000",
            "bounds.ack_timeout_ms=4000", "bounds.catch_up_s=4", "bounds.drain_ms=2000",
            "bounds.grace_s=6", "bounds.loss_slack_ms=200", "bounds.config_apply_ms=2000",
            "bounds.regression_ms=250", "bounds.max_stretch_ms=5000", "bounds.recovery_s=12",
            "bounds.max_hold_ms=6000", "bounds.stop_timeout_ms=900", "bounds.gang_timeout_ms=3000",
            "bounds.cancel_ms=3000", "bounds.visible_ms=3000", "bounds.early_ms=250",
            "bounds.finish_s=14", "bounds.status_s=120", "bounds.remote_factor=2",
            "bounds.checkpoint_s=1", "bounds.restore_ms=250", "bounds.notice_ms=4500",
            "bounds.migration_s=1.5", "bounds.maintenance_s=2", "bounds.fencing_enforced=false",
            "bounds.lease_ms=3000", "bounds.thaw_slack_ms=300", "bounds.rate_window_ms=100",
            "bounds.interference_ms=4000", "config_mode=highest", "command_mode=push",
            "advice=", "cloud_api.address=" + cloudAddress, "cloud_api.rate_per_s=64.0",
            "cloud_api.duties=", "cloud_api.duty_per_s=64.0"));
    node.settings = folder.resolve(node.name + ".conf");
    Files.write(node.settings, lines);
  }

  void launch(Node node) throws IOException {
    String deploy = Files.readString(root.resolve("deploy/system.toml"));
    Matcher matcher =
        Pattern.compile("\\[roles\\." + node.role + "\\]\\s*run = \"([^\"]*)\"").matcher(deploy);
    if (!matcher.find()) {
      throw new IOException("the deploy file has no role " + node.role);
    }
    ProcessBuilder builder = new ProcessBuilder(matcher.group(1).split(" "));
    builder.directory(root.toFile());
    Map<String, String> environment = builder.environment();
    environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    environment.put("VERBENAWHEEL_NODE_FILE", node.settings.toString());
    File log = folder.resolve(node.name + ".log").toFile();
    builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
    node.process = builder.start();
    record.line("process %s starts (%s)", node.name, node.ip);
  }

  /** Sends a configuration until a control process acknowledges it. */
  boolean install(String configuration, long withinMs) throws InterruptedException {
    long end = System.nanoTime() + withinMs * 1_000_000;
    for (int number = 0; System.nanoTime() < end; number++) {
      String address = controlAddresses().get(number % controls.size());
      Web.Answer answer = Web.call("POST", address, "/Config.Replace", configuration, 2_000);
      if (answer.status() == 200) {
        record.line("configuration acknowledged");
        return true;
      }
      Thread.sleep(200);
    }
    return false;
  }

  boolean awaitReady(long withinMs) throws InterruptedException {
    long end = System.nanoTime() + withinMs * 1_000_000;
    while (System.nanoTime() < end) {
      boolean all =
          entries.stream()
              .allMatch(
                  entry -> Web.call("GET", readiness(entry), "/readyz", "", 500).status() == 200);
      if (all) {
        return true;
      }
      Thread.sleep(200);
    }
    return false;
  }

  private void killAll() {
    for (Node node : Stream.concat(controls.stream(), entries.stream()).toList()) {
      if (node.process != null) {
        node.process.destroyForcibly();
      }
    }
  }

  @Override
  public void close() {
    killAll();
    for (Node node : Stream.concat(controls.stream(), entries.stream()).toList()) {
      try {
        if (node.process != null) {
          node.process.waitFor(5, TimeUnit.SECONDS);
        }
      } catch (InterruptedException interrupted) {
        Thread.currentThread().interrupt();
      }
    }
    delete(folder);
  }

  private static void delete(Path folder) {
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    } catch (IOException ignored) {
      // The folder is a temporary one under target/.
    }
  }
}
