package org.verbenawheel.settings;

import com.google.common.collect.ImmutableList;

/** Defines the settings of a control process. */
public final class ControlSettingDefinitions {
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
          "httpAddress", SettingType.LISTEN_ADDRESS, "Where operators reach this process by HTTP.");

  static final SettingDefinition PEER_ADDRESS =
      SettingDefinition.required(
          "peerAddress",
          SettingType.LISTEN_ADDRESS,
          "Where other processes of the system reach this one.");

  static final SettingDefinition ENTRIES =
      SettingDefinition.required(
          "entries", SettingType.ADDRESSES, "The peer address of each entry.");

  static final SettingDefinition CONTROLS =
      SettingDefinition.required(
          "controls",
          SettingType.ADDRESSES,
          "The peer address of each replica of the first group of voters; a replica that replaces another is added by a command.");

  static final SettingDefinition DATA_FOLDER =
      SettingDefinition.required(
          "dataFolder", SettingType.PATH, "The folder on disk that holds the replicated state.");

  static final SettingDefinition SHARED_SECRET_FILE =
      SettingDefinition.required(
          "sharedSecretFile",
          SettingType.PATH,
          "The file with the secret that processes of the system prove to one another.");

  static final SettingDefinition OPERATOR_TOKEN_FILE =
      SettingDefinition.required(
          "operatorTokenFile", SettingType.PATH, "The file with the token that operators send.");

  static final SettingDefinition PLATFORM_ADDRESS =
      SettingDefinition.optional(
          "platformAddress",
          SettingType.ADDRESS,
          "Where the platform takes orders about hosts; without it no host is switched.");

  static final SettingDefinition DRAIN_TIMEOUT_MILLISECONDS =
      SettingDefinition.number(
          "drainTimeoutMilliseconds",
          30_000,
          0,
          3_600_000,
          "How long commands in flight may take to end at a planned stop.");

  static final SettingDefinition ELECTION_TIMEOUT_MILLISECONDS =
      SettingDefinition.number(
          "electionTimeoutMilliseconds",
          2_000,
          50,
          30_000,
          "A replica that hears no leader for this long stands for election; the leader lease is four fifths of it, and below 1500 ms the controllers do not act; each adds a random part of up to the same length.");

  static final SettingDefinition REPLICATION_HEARTBEAT_MILLISECONDS =
      SettingDefinition.number(
          "replicationHeartbeatMilliseconds",
          100,
          5,
          5_000,
          "The time between two heartbeats of the leader.");

  static final SettingDefinition SNAPSHOT_EVERY_COMMANDS =
      SettingDefinition.number(
          "snapshotEveryCommands",
          10_000,
          10,
          10_000_000,
          "A snapshot is written after this many commands.");

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
          DATA_FOLDER,
          SHARED_SECRET_FILE,
          OPERATOR_TOKEN_FILE,
          PLATFORM_ADDRESS,
          DRAIN_TIMEOUT_MILLISECONDS,
          ELECTION_TIMEOUT_MILLISECONDS,
          REPLICATION_HEARTBEAT_MILLISECONDS,
          SNAPSHOT_EVERY_COMMANDS,
          HEARTBEAT_INTERVAL_MILLISECONDS,
          PEER_SILENCE_MILLISECONDS);

  private ControlSettingDefinitions() {}
}
