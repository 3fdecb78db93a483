package org.verbenawheel.settings;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.net.InetAddresses;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.verbenawheel.document.DocumentException;
import org.verbenawheel.identity.ProcessId;

final class SettingsReaderTest {
  private static final String ENTRY_SETTINGS =
      """
      process: entry-1
      availabilityZone: tamar
      region: tasmania
      httpAddress: 127.0.0.1:8080
      peerAddress: 127.0.0.1:7000
      entries: {entry-1: 127.0.0.1:7000, entry-2: 127.0.0.1:7001}
      controls: {control-1: 127.0.0.1:7100}
      entryHttpAddresses: {entry-1: 127.0.0.1:8080, entry-2: 127.0.0.1:8081}
      sharedSecretFile: secret
      operatorTokenFile: /etc/verbenawheel/token
      """;
  private static final String CONTROL_SETTINGS =
      """
      process: control-1
      availabilityZone: tamar
      region: tasmania
      httpAddress: 127.0.0.1:9080
      peerAddress: 127.0.0.1:7100
      entries: {entry-1: 127.0.0.1:7000}
      controls: {control-1: 127.0.0.1:7100}
      dataFolder: data
      sharedSecretFile: secret
      operatorTokenFile: token
      """;

  @TempDir Path folder;

  @Test
  void readsEntryWithDefaults() throws Exception {
    EntrySettings settings = SettingsReader.readEntry(write(ENTRY_SETTINGS));
    assertThat(settings.process()).isEqualTo(new ProcessId("entry-1"));
    assertThat(settings.entries().get(new ProcessId("entry-2")))
        .isEqualTo(new InetSocketAddress(InetAddresses.forString("127.0.0.1"), 7001));
    assertThat(settings.sharedSecretFile()).isEqualTo(folder.resolve("secret"));
    assertThat(settings.operatorTokenFile()).isEqualTo(Path.of("/etc/verbenawheel/token"));
    assertThat(settings.configurationFreshnessMilliseconds()).isEqualTo(8000);
  }

  @Test
  void readsControlWithAndWithoutPlatform() throws Exception {
    ControlSettings settings = SettingsReader.readControl(write(CONTROL_SETTINGS));
    assertThat(settings.platformAddress()).isEmpty();
    assertThat(settings.dataFolder()).isEqualTo(folder.resolve("data"));
    ControlSettings withPlatform =
        SettingsReader.readControl(write(CONTROL_SETTINGS + "platformAddress: 127.0.0.1:6000\n"));
    assertThat(withPlatform.platformAddress())
        .hasValue(new InetSocketAddress(InetAddresses.forString("127.0.0.1"), 6000));
  }

  @Test
  void reportsAllProblemsTogether() throws IOException {
    String text =
        ENTRY_SETTINGS
                .replace("region: tasmania\n", "")
                .replace("httpAddress: 127.0.0.1:8080", "httpAddress: example.test:8080")
            + "drainTimeoutMilliseconds: soon\n"
            + "maximumbodybytes: 9\n"
            + "colour: red\n";
    assertThat(problemsOf(text).toString().split("\n")).hasLength(5);
    assertThat(problemsOf(text).toString())
        .contains(":3: httpAddress: found \"example.test:8080\"; expected an IP number");
    assertThat(problemsOf(text).toString()).contains("region: found nothing; expected a name");
    assertThat(problemsOf(text).toString()).contains("expected the key maximumBodyBytes");
    assertThat(problemsOf(text).toString()).contains("colour: found an unknown key");
  }

  @Test
  void rejectsDuplicateKey() throws IOException {
    assertThat(problemsOf(ENTRY_SETTINGS + "process: entry-2\n"))
        .contains(
            ":11: process: found the key a second time, after line 1; expected each key once");
  }

  @Test
  void rejectsNumbersOutOfRangeOrNotWhole() throws IOException {
    assertThat(problemsOf(ENTRY_SETTINGS + "configurationFreshnessMilliseconds: 60000\n"))
        .contains("found 60000; expected a whole number from 1000 to 10000");
    assertThat(problemsOf(ENTRY_SETTINGS + "maximumBodyBytes: 1.5\n")).contains("found 1.5");
  }

  @Test
  void rejectsInconsistentSettings() throws IOException {
    String text =
        ENTRY_SETTINGS + "heartbeatIntervalMilliseconds: 1000\npeerSilenceMilliseconds: 1200\n";
    assertThat(problemsOf(text))
        .contains("peerSilenceMilliseconds: found 1200; expected at least 3000");
    assertThat(
            problemsOf(
                ENTRY_SETTINGS.replace("entry-1: 127.0.0.1:7000", "entry-1: 127.0.0.1:7009")))
        .contains("entries: ");
  }

  @Test
  void rejectsMissingFile() {
    DocumentException rejection =
        assertThrows(
            DocumentException.class, () -> SettingsReader.readEntry(folder.resolve("absent.yaml")));
    assertThat(rejection).hasMessageThat().contains("expected a file that this process may read");
  }

  private String problemsOf(String text) throws IOException {
    Path file = write(text);
    return String.valueOf(
        assertThrows(DocumentException.class, () -> SettingsReader.readEntry(file)).getMessage());
  }

  private Path write(String text) throws IOException {
    return Files.writeString(folder.resolve("entry.yaml"), text);
  }
}
