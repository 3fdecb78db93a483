package org.verbenawheel.settings;

import com.google.common.collect.ImmutableList;
import java.nio.file.Path;
import org.verbenawheel.document.Document;
import org.verbenawheel.document.DocumentException;
import org.verbenawheel.document.DocumentReader;
import org.verbenawheel.identity.AvailabilityZone;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.identity.Region;

/**
 * Reads and checks the settings file of a process.
 *
 * <p>All problems of a file are reported together, each on one line with the file, the line, the
 * key, the value found and the value expected. A process whose settings have a problem starts no
 * part and exits with {@link #EXIT_CODE_BAD_SETTINGS}.
 */
public final class SettingsReader {
  /** The exit code of a process whose settings are invalid. */
  public static final int EXIT_CODE_BAD_SETTINGS = 2;

  private SettingsReader() {}

  /**
   * Reads the settings of an entry process.
   *
   * @param file the YAML file
   * @throws DocumentException with all problems, if the file cannot be read or a setting is invalid
   */
  public static EntrySettings readEntry(Path file) throws DocumentException {
    SettingValues values = readValues(file, EntrySettingDefinitions.ALL);
    EntrySettings settings =
        EntrySettings.builder()
            .process(new ProcessId(values.name(EntrySettingDefinitions.PROCESS)))
            .availabilityZone(
                new AvailabilityZone(values.name(EntrySettingDefinitions.AVAILABILITY_ZONE)))
            .region(new Region(values.name(EntrySettingDefinitions.REGION)))
            .httpAddress(values.address(EntrySettingDefinitions.HTTP_ADDRESS))
            .peerAddress(values.address(EntrySettingDefinitions.PEER_ADDRESS))
            .entries(values.addresses(EntrySettingDefinitions.ENTRIES))
            .controls(values.addresses(EntrySettingDefinitions.CONTROLS))
            .entryHttpAddresses(values.addresses(EntrySettingDefinitions.ENTRY_HTTP_ADDRESSES))
            .sharedSecretFile(values.path(EntrySettingDefinitions.SHARED_SECRET_FILE))
            .operatorTokenFile(values.path(EntrySettingDefinitions.OPERATOR_TOKEN_FILE))
            .maximumBodyBytes(values.number(EntrySettingDefinitions.MAXIMUM_BODY_BYTES))
            .drainTimeoutMilliseconds(
                values.number(EntrySettingDefinitions.DRAIN_TIMEOUT_MILLISECONDS))
            .configurationFreshnessMilliseconds(
                values.number(EntrySettingDefinitions.CONFIGURATION_FRESHNESS_MILLISECONDS))
            .configurationPollMilliseconds(
                values.number(EntrySettingDefinitions.CONFIGURATION_POLL_MILLISECONDS))
            .heartbeatIntervalMilliseconds(
                values.number(EntrySettingDefinitions.HEARTBEAT_INTERVAL_MILLISECONDS))
            .peerSilenceMilliseconds(
                values.number(EntrySettingDefinitions.PEER_SILENCE_MILLISECONDS))
            .build();
    SettingChecks.checkEntry(settings, values);
    return settings;
  }

  /**
   * Reads the settings of a control process.
   *
   * @param file the YAML file
   * @throws DocumentException with all problems, if the file cannot be read or a setting is invalid
   */
  public static ControlSettings readControl(Path file) throws DocumentException {
    SettingValues values = readValues(file, ControlSettingDefinitions.ALL);
    ControlSettings.Builder builder =
        ControlSettings.builder()
            .process(new ProcessId(values.name(ControlSettingDefinitions.PROCESS)))
            .availabilityZone(
                new AvailabilityZone(values.name(ControlSettingDefinitions.AVAILABILITY_ZONE)))
            .region(new Region(values.name(ControlSettingDefinitions.REGION)))
            .httpAddress(values.address(ControlSettingDefinitions.HTTP_ADDRESS))
            .peerAddress(values.address(ControlSettingDefinitions.PEER_ADDRESS))
            .entries(values.addresses(ControlSettingDefinitions.ENTRIES))
            .controls(values.addresses(ControlSettingDefinitions.CONTROLS))
            .dataFolder(values.path(ControlSettingDefinitions.DATA_FOLDER))
            .sharedSecretFile(values.path(ControlSettingDefinitions.SHARED_SECRET_FILE))
            .operatorTokenFile(values.path(ControlSettingDefinitions.OPERATOR_TOKEN_FILE))
            .drainTimeoutMilliseconds(
                values.number(ControlSettingDefinitions.DRAIN_TIMEOUT_MILLISECONDS))
            .electionTimeoutMilliseconds(
                values.number(ControlSettingDefinitions.ELECTION_TIMEOUT_MILLISECONDS))
            .replicationHeartbeatMilliseconds(
                values.number(ControlSettingDefinitions.REPLICATION_HEARTBEAT_MILLISECONDS))
            .snapshotEveryCommands(values.number(ControlSettingDefinitions.SNAPSHOT_EVERY_COMMANDS))
            .heartbeatIntervalMilliseconds(
                values.number(ControlSettingDefinitions.HEARTBEAT_INTERVAL_MILLISECONDS))
            .peerSilenceMilliseconds(
                values.number(ControlSettingDefinitions.PEER_SILENCE_MILLISECONDS));
    values
        .optionalAddress(ControlSettingDefinitions.PLATFORM_ADDRESS)
        .ifPresent(builder::platformAddress);
    ControlSettings settings = builder.build();
    SettingChecks.checkControl(settings, values);
    return settings;
  }

  private static SettingValues readValues(Path file, ImmutableList<SettingDefinition> definitions)
      throws DocumentException {
    Document document = DocumentReader.readFile(file);
    Path folder = file.toAbsolutePath().getParent();
    return SettingValues.read(document, folder == null ? file : folder, definitions);
  }
}
