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

/** Assigns addresses to the processes of a loopback deployment and writes their settings files. */
final class SettingsWriter {
  private final Path folder;
  private final Map<ProcessKind, Map<String, String>> httpAddresses = new TreeMap<>();
  private final Map<ProcessKind, Map<String, String>> peerAddresses = new TreeMap<>();
  private final ImmutableMap<String, String> extraSettings;

  private SettingsWriter(Path folder, ImmutableMap<String, String> extraSettings) {
    this.folder = folder;
    this.extraSettings = extraSettings;
  }

  /**
   * Assigns an HTTP and a peer address to every process of a deployment.
   *
   * @param folder the folder for the settings files
   * @param entries the number of entries
   * @param controls the number of control processes
   * @param extraSettings lines to append to the settings file, by process name
   * @throws IOException if there are too few free ports
   */
  static SettingsWriter create(
      Path folder, int entries, int controls, ImmutableMap<String, String> extraSettings)
      throws IOException {
    SettingsWriter writer = new SettingsWriter(folder, extraSettings);
    writer.chooseAddresses(ProcessKind.ENTRY, entries);
    writer.chooseAddresses(ProcessKind.CONTROL, controls);
    return writer;
  }

  /**
   * Writes the settings files of all processes of one kind.
   *
   * @return the processes, not started
   * @throws IOException if a file cannot be written
   */
  ImmutableList<LocalProcess> write(ProcessKind kind) throws IOException {
    ImmutableList.Builder<LocalProcess> processes = ImmutableList.builder();
    int number = 0;
    for (Map.Entry<String, String> http : addressesOf(httpAddresses, kind).entrySet()) {
      String name = http.getKey();
      Path file = folder.resolve(name + ".yaml");
      Files.write(file, settingsLines(kind, name, http.getValue(), number));
      processes.add(new LocalProcess(kind, name, http.getValue(), file));
      number++;
    }
    return processes.build();
  }

  private void chooseAddresses(ProcessKind kind, int count) throws IOException {
    httpAddresses.put(kind, LocalDeployment.assignAddresses(kind, count));
    peerAddresses.put(kind, LocalDeployment.assignAddresses(kind, count));
  }

  private List<String> settingsLines(ProcessKind kind, String name, String http, int number)
      throws IOException {
    List<String> lines = new ArrayList<>();
    ImmutableList<String> zones = LocalDeployment.availabilityZones();
    lines.add("process: " + name);
    lines.add("availabilityZone: " + zones.get(number % zones.size()));
    lines.add("region: tasmania");
    lines.add("httpAddress: " + http);
    lines.add("peerAddress: " + addressesOf(peerAddresses, kind).get(name));
    lines.add("entries: " + toInlineYaml(addressesOf(peerAddresses, ProcessKind.ENTRY)));
    lines.add("controls: " + toInlineYaml(addressesOf(peerAddresses, ProcessKind.CONTROL)));
    lines.add("sharedSecretFile: shared-secret");
    lines.add("operatorTokenFile: operator-token");
    if (kind == ProcessKind.ENTRY) {
      lines.add(
          "entryHttpAddresses: " + toInlineYaml(addressesOf(httpAddresses, ProcessKind.ENTRY)));
    } else {
      lines.add("dataFolder: data-" + name);
      Files.createDirectories(folder.resolve("data-" + name));
    }
    String extra = extraSettings.get(name);
    if (extra != null) {
      lines.add(extra);
    }
    return lines;
  }

  private static String toInlineYaml(Map<String, String> map) {
    return "{" + Joiner.on(", ").withKeyValueSeparator(": ").join(map) + "}";
  }

  private static Map<String, String> addressesOf(
      Map<ProcessKind, Map<String, String>> all, ProcessKind kind) {
    return all.getOrDefault(kind, Map.of());
  }
}
