package org.verbenawheel.local;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.verbenawheel.configuration.Configuration;
import org.verbenawheel.load.CallerClient;
import org.verbenawheel.load.LoadRequest;

/**
 * Deployment on loopback for scenarios and experiments: starts each entry and control process as a
 * separate operating system process and stops them all on close.
 */
public final class LocalDeployment implements AutoCloseable {
  private static final String OPERATOR_TOKEN = "an operator token for loopback only";
  private static final String SHARED_SECRET = "a shared secret for loopback only";
  private static final ImmutableList<String> AVAILABILITY_ZONES =
      ImmutableList.of("tamar", "derwent", "midlands");
  private static final Duration START_TIMEOUT = Duration.ofSeconds(90);
  private static final Duration STOP_TIMEOUT = Duration.ofSeconds(5);

  private final Path folder;
  private final ImmutableList<LocalProcess> entries;
  private final ImmutableList<LocalProcess> controls;
  private final OperatorClient operatorClient;

  private LocalDeployment(
      Path folder, ImmutableList<LocalProcess> entries, ImmutableList<LocalProcess> controls) {
    this.folder = folder;
    this.entries = entries;
    this.controls = controls;
    this.operatorClient =
        new OperatorClient(
            controls.stream()
                .map(LocalProcess::httpAddress)
                .collect(ImmutableList.toImmutableList()),
            OPERATOR_TOKEN);
  }

  /**
   * Starts a deployment, applies the configuration and waits until every entry is ready.
   *
   * @param folder an empty folder for settings, logs and data
   * @param entries the number of entries
   * @param controls the number of control processes
   * @param configuration the first configuration
   * @throws IOException if a process cannot be started or is not ready in time
   */
  public static LocalDeployment start(
      Path folder, int entries, int controls, Configuration configuration) throws IOException {
    return start(folder, entries, controls, configuration, ImmutableMap.of());
  }

  /**
   * Starts a deployment with extra settings for single processes, for example to route their peer
   * connections through relays.
   *
   * @param folder an empty folder for settings, logs and data
   * @param entries the number of entries
   * @param controls the number of control processes
   * @param configuration the first configuration
   * @param extraSettings lines to append to the settings file, by process name
   * @throws IOException if a process cannot be started or is not ready in time
   */
  public static LocalDeployment start(
      Path folder,
      int entries,
      int controls,
      Configuration configuration,
      ImmutableMap<String, String> extraSettings)
      throws IOException {
    SettingsWriter writer = SettingsWriter.create(folder, entries, controls, extraSettings);
    Files.writeString(folder.resolve("shared-secret"), SHARED_SECRET);
    Files.writeString(folder.resolve("operator-token"), OPERATOR_TOKEN);
    LocalDeployment deployment =
        new LocalDeployment(
            folder, writer.write(ProcessKind.ENTRY), writer.write(ProcessKind.CONTROL));
    try {
      deployment.startAll();
      deployment.applyFirstConfiguration(configuration);
      return deployment;
    } catch (IOException failed) {
      deployment.close();
      throw failed;
    }
  }

  /** Returns the availability zones, which are assigned to the processes round robin. */
  public static ImmutableList<String> availabilityZones() {
    return AVAILABILITY_ZONES;
  }

  /** Returns the entries. */
  public ImmutableList<LocalProcess> entries() {
    return entries;
  }

  /** Returns the control processes. */
  public ImmutableList<LocalProcess> controls() {
    return controls;
  }

  /** Returns a client of the operators' HTTP interface of this deployment. */
  public OperatorClient operatorClient() {
    return operatorClient;
  }

  /** Returns the HTTP addresses of the entries. */
  public ImmutableList<String> entryAddresses() {
    return entries.stream().map(LocalProcess::httpAddress).collect(ImmutableList.toImmutableList());
  }

  /** Returns the running control process that reports itself as leader, if any. */
  public Optional<LocalProcess> leader() {
    return controls.stream()
        .filter(LocalProcess::isRunning)
        .filter(control -> operatorClient.isLeader(control.httpAddress()))
        .findFirst();
  }

  /** Returns the folder with the settings, logs and data of all processes. */
  public Path folder() {
    return folder;
  }

  /** Returns the data folder of a control process. */
  public Path dataFolder(LocalProcess control) {
    return folder.resolve("data-" + control.name());
  }

  /**
   * Waits until the readiness check of a process succeeds.
   *
   * @throws IOException if it is not ready in time
   */
  public void awaitReady(LocalProcess process) throws IOException {
    try (CallerClient caller = new CallerClient(process.httpAddress(), 1)) {
      boolean ready =
          Waiting.until(
              () ->
                  caller
                          .send(LoadRequest.get("/health/ready", 0), Duration.ofSeconds(2))
                          .join()
                          .status()
                      == 200,
              START_TIMEOUT);
      if (!ready) {
        throw new IOException(process.name() + " was not ready within " + START_TIMEOUT);
      }
    }
  }

  @Override
  public void close() {
    operatorClient.close();
    entries.forEach(LocalProcess::terminate);
    controls.forEach(LocalProcess::terminate);
    entries.forEach(LocalDeployment::awaitOrKill);
    controls.forEach(LocalDeployment::awaitOrKill);
  }

  private static void awaitOrKill(LocalProcess process) {
    if (!process.awaitExit(STOP_TIMEOUT)) {
      process.kill();
    }
  }

  private void startAll() throws IOException {
    for (LocalProcess control : controls) {
      control.start();
    }
    for (LocalProcess entry : entries) {
      entry.start();
    }
  }

  private void applyFirstConfiguration(Configuration configuration) throws IOException {
    boolean applied =
        Waiting.until(
            () -> operatorClient.applyConfiguration(0, configuration).accepted(), START_TIMEOUT);
    if (!applied) {
      throw new IOException(
          "no control process accepted the first configuration within " + START_TIMEOUT);
    }
    for (LocalProcess entry : entries) {
      awaitReady(entry);
    }
  }

  static Map<String, String> assignAddresses(ProcessKind kind, int count) throws IOException {
    Map<String, String> addresses = new TreeMap<>();
    for (int number = 1; number <= count; number++) {
      addresses.put(kind.processName(number), Ports.freeAddress());
    }
    return addresses;
  }
}
