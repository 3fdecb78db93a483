package org.verbenawheel.local;

import com.google.common.base.Joiner;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Writes the settings files of a deployment on loopback. */
final class SettingsWriter {
  private final Path folder;
  private final Map<ProcessKind, Map<String, String>> httpAddresses = new TreeMap<>();
  private final Map<ProcessKind, Map<String, String>> peerAddresses = new TreeMap<>();
  private final ImmutableMap<String, String> moreSettings;

  private SettingsWriter(Path folder, ImmutableMap<String, String> moreSettings) {
    this.folder = folder;
    this.moreSettings = moreSettings;
  }

  /**
   * Chooses the addresses of a deployment.
   *
   * @param folder where the settings go
   * @param entries how many entries
   * @param controls how many control processes
   * @param moreSettings lines added to the settings of the processes with that name
   * @throws IOException if there are too few free ports
   */
  static SettingsWriter create(
      Path folder, int entries, int controls, ImmutableMap<String, String> moreSettings)
      throws IOException {
    SettingsWriter writer = new SettingsWriter(folder, moreSettings);
    writer.chooseAddresses(ProcessKind.ENTRY, entries);
    writer.chooseAddresses(ProcessKind.CONTROL, controls);
    return writer;
  }

  /**
   * Writes the settings of all processes of one kind.
   *
   * @param kind the kind
   * @return the processes, not started
   * @throws IOException if a file cannot be written
   */
  ImmutableList<LocalProcess> write(ProcessKind kind) throws IOException {
    ImmutableList.Builder<LocalProcess> processes = ImmutableList.builder();
    int number = 0;
    for (Map.Entry<String, String> http : addresses(httpAddresses, kind).entrySet()) {
      String name = http.getKey();
      Path file = folder.resolve(name + ".yaml");
      Files.write(file, lines(kind, name, http.getValue(), number));
      processes.add(new LocalProcess(kind, name, http.getValue(), file));
      number++;
    }
    return processes.build();
  }

  private void chooseAddresses(ProcessKind kind, int count) throws IOException {
    httpAddresses.put(kind, LocalDeployment.addresses(kind, count));
    peerAddresses.put(kind, LocalDeployment.addresses(kind, count));
  }

  private List<String> lines(ProcessKind kind, String name, String http, int number)
      throws IOException {
    List<String> lines = new ArrayList<>();
    ImmutableList<String> zones = LocalDeployment.availabilityZones();
    lines.add("process: " + name);
    lines.add("availabilityZone: " + zones.get(number % zones.size()));
    lines.add("region: tasmania");
    lines.add("httpAddress: " + http);
    lines.add("peerAddress: " + addresses(peerAddresses, kind).get(name));
    lines.add("entries: " + yaml(addresses(peerAddresses, ProcessKind.ENTRY)));
    lines.add("controls: " + yaml(addresses(peerAddresses, ProcessKind.CONTROL)));
    lines.add("sharedSecretFile: shared-secret");
    lines.add("operatorTokenFile: operator-token");
    if (kind == ProcessKind.ENTRY) {
      lines.add("entryHttpAddresses: " + yaml(addresses(httpAddresses, ProcessKind.ENTRY)));
    } else {
      lines.add("dataFolder: data-" + name);
      Files.createDirectories(folder.resolve("data-" + name));
    }
    String more = moreSettings.get(name);
    if (more != null) {
      lines.add(more);
    }
    return lines;
  }

  private static String yaml(Map<String, String> map) {
    return "{" + Joiner.on(", ").withKeyValueSeparator(": ").join(map) + "}";
  }

  private static Map<String, String> addresses(
      Map<ProcessKind, Map<String, String>> all, ProcessKind kind) {
    return all.getOrDefault(kind, Map.of());
  }
}
