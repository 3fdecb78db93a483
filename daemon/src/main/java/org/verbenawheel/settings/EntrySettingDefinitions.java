package org.verbenawheel.settings;

import com.google.common.collect.ImmutableList;

/** Defines the settings of an entry process. */
public final class EntrySettingDefinitions {
  static final SettingDefinition PROCESS =
      SettingDefinition.required(
          "process", SettingType.NAME, "The name of this process, unique in the deployment.");

  static final SettingDefinition AVAILABILITY_ZONE =
      SettingDefinition.required(
          "availabilityZone", SettingType.NAME, "The availability zone of this process.");

  static final SettingDefinition REGION =
      SettingDefinition.required("region", SettingType.NAME, "The region of this process.");

  static final SettingDefinition HTTP_ADDRESS =
      SettingDefinition.required(
          "httpAddress",
          SettingType.LISTEN_ADDRESS,
          "Where callers and endpoints reach this process by HTTP.");

  static final SettingDefinition PEER_ADDRESS =
      SettingDefinition.required(
          "peerAddress",
          SettingType.LISTEN_ADDRESS,
          "Where other processes of the system reach this one.");

  static final SettingDefinition ENTRIES =
      SettingDefinition.required(
          "entries", SettingType.ADDRESSES, "The peer address of each entry, this one among them.");

  static final SettingDefinition CONTROLS =
      SettingDefinition.required(
          "controls", SettingType.ADDRESSES, "The peer address of each control replica.");

  static final SettingDefinition ENTRY_HTTP_ADDRESSES =
      SettingDefinition.required(
          "entryHttpAddresses",
          SettingType.ADDRESSES,
          "The HTTP address of each entry, so that an endpoint can be told the address of its home entry.");

  static final SettingDefinition SHARED_SECRET_FILE =
      SettingDefinition.required(
          "sharedSecretFile",
          SettingType.PATH,
          "The file with the secret that processes of the system prove to one another.");

  static final SettingDefinition OPERATOR_TOKEN_FILE =
      SettingDefinition.required(
          "operatorTokenFile", SettingType.PATH, "The file with the token that operators send.");

  static final SettingDefinition MAXIMUM_BODY_BYTES =
      SettingDefinition.number(
          "maximumBodyBytes",
          16_777_216,
          1_024,
          1_073_741_824,
          "The largest body of a request or an answer, in bytes.");

  static final SettingDefinition DRAIN_TIMEOUT_MILLISECONDS =
      SettingDefinition.number(
          "drainTimeoutMilliseconds",
          30_000,
          0,
          3_600_000,
          "How long requests in flight may take to end at a planned stop.");

  static final SettingDefinition CONFIGURATION_FRESHNESS_MILLISECONDS =
      SettingDefinition.number(
          "configurationFreshnessMilliseconds",
          8_000,
          1_000,
          10_000,
          "How long a configuration may be used after the moment its confirmation was asked for.");

  static final SettingDefinition CONFIGURATION_POLL_MILLISECONDS =
      SettingDefinition.number(
          "configurationPollMilliseconds",
          300,
          20,
          2_000,
          "The time between two questions for the configuration.");

  static final SettingDefinition HEARTBEAT_INTERVAL_MILLISECONDS =
      SettingDefinition.number(
          "heartbeatIntervalMilliseconds",
          500,
          20,
          5_000,
          "The time between heartbeats on a peer connection.");

  static final SettingDefinition PEER_SILENCE_MILLISECONDS =
      SettingDefinition.number(
          "peerSilenceMilliseconds",
          1_500,
          100,
          30_000,
          "A peer connection silent for this long is replaced.");

  /** All settings, in the order of the reference page. */
  public static final ImmutableList<SettingDefinition> ALL =
      ImmutableList.of(
          PROCESS,
          AVAILABILITY_ZONE,
          REGION,
          HTTP_ADDRESS,
          PEER_ADDRESS,
          ENTRIES,
          CONTROLS,
          ENTRY_HTTP_ADDRESSES,
          SHARED_SECRET_FILE,
          OPERATOR_TOKEN_FILE,
          MAXIMUM_BODY_BYTES,
          DRAIN_TIMEOUT_MILLISECONDS,
          CONFIGURATION_FRESHNESS_MILLISECONDS,
          CONFIGURATION_POLL_MILLISECONDS,
          HEARTBEAT_INTERVAL_MILLISECONDS,
          PEER_SILENCE_MILLISECONDS);

  private EntrySettingDefinitions() {}
}
