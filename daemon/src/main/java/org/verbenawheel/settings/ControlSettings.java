package org.verbenawheel.settings;

import com.google.common.collect.ImmutableMap;
import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Objects;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.verbenawheel.identity.AvailabilityZone;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.identity.Region;

/**
 * The settings of one control process.
 *
 * @param process the name of this process, unique in the deployment
 * @param availabilityZone the availability zone of this process
 * @param region the region of this process
 * @param httpAddress the address on which this process serves operators by HTTP
 * @param peerAddress the address on which other processes of the system connect to this one
 * @param entries the peer address of each entry
 * @param controls the peer address of each replica of the initial group of voters; a replica that
 *     replaces another is added by a command
 * @param dataFolder the folder on disk that holds the replicated state
 * @param sharedSecretFile the file with the secret with which processes of the system authenticate
 *     to one another
 * @param operatorTokenFile the file with the token that operators must send
 * @param platformAddress the address of the platform, which powers hosts on and off; if empty, no
 *     host is switched
 * @param drainTimeoutMilliseconds how long commands in flight may take to complete during a planned
 *     stop
 * @param electionTimeoutMilliseconds a replica that receives nothing from a leader for this long
 *     starts an election; each replica adds a random time of up to the same length
 * @param replicationHeartbeatMilliseconds the time between two heartbeats of the leader
 * @param snapshotEveryCommands the number of commands after which a snapshot is written
 * @param heartbeatIntervalMilliseconds the time between heartbeats on a peer connection
 * @param peerSilenceMilliseconds a peer connection on which nothing is received for this long is
 *     replaced
 */
public record ControlSettings(
    ProcessId process,
    AvailabilityZone availabilityZone,
    Region region,
    InetSocketAddress httpAddress,
    InetSocketAddress peerAddress,
    ImmutableMap<ProcessId, InetSocketAddress> entries,
    ImmutableMap<ProcessId, InetSocketAddress> controls,
    Path dataFolder,
    Path sharedSecretFile,
    Path operatorTokenFile,
    Optional<InetSocketAddress> platformAddress,
    long drainTimeoutMilliseconds,
    long electionTimeoutMilliseconds,
    long replicationHeartbeatMilliseconds,
    long snapshotEveryCommands,
    long heartbeatIntervalMilliseconds,
    long peerSilenceMilliseconds) {

  /** Returns a builder in which every number has its default from the definitions. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builds the settings of one process. */
  public static final class Builder {
    private @Nullable ProcessId process;
    private @Nullable AvailabilityZone availabilityZone;
    private @Nullable Region region;
    private @Nullable InetSocketAddress httpAddress;
    private @Nullable InetSocketAddress peerAddress;
    private ImmutableMap<ProcessId, InetSocketAddress> entries = ImmutableMap.of();
    private ImmutableMap<ProcessId, InetSocketAddress> controls = ImmutableMap.of();
    private @Nullable Path dataFolder;
    private @Nullable Path sharedSecretFile;
    private @Nullable Path operatorTokenFile;
    private Optional<InetSocketAddress> platformAddress = Optional.empty();
    private long drainTimeoutMilliseconds =
        ControlSettingDefinitions.DRAIN_TIMEOUT_MILLISECONDS.defaultNumber().orElseThrow();
    private long electionTimeoutMilliseconds =
        ControlSettingDefinitions.ELECTION_TIMEOUT_MILLISECONDS.defaultNumber().orElseThrow();
    private long replicationHeartbeatMilliseconds =
        ControlSettingDefinitions.REPLICATION_HEARTBEAT_MILLISECONDS.defaultNumber().orElseThrow();
    private long snapshotEveryCommands =
        ControlSettingDefinitions.SNAPSHOT_EVERY_COMMANDS.defaultNumber().orElseThrow();
    private long heartbeatIntervalMilliseconds =
        ControlSettingDefinitions.HEARTBEAT_INTERVAL_MILLISECONDS.defaultNumber().orElseThrow();
    private long peerSilenceMilliseconds =
        ControlSettingDefinitions.PEER_SILENCE_MILLISECONDS.defaultNumber().orElseThrow();

    private Builder() {}

    /** Sets {@link ControlSettings#process}. */
    @CanIgnoreReturnValue
    public Builder process(ProcessId value) {
      process = value;
      return this;
    }

    /** Sets {@link ControlSettings#availabilityZone}. */
    @CanIgnoreReturnValue
    public Builder availabilityZone(AvailabilityZone value) {
      availabilityZone = value;
      return this;
    }

    /** Sets {@link ControlSettings#region}. */
    @CanIgnoreReturnValue
    public Builder region(Region value) {
      region = value;
      return this;
    }

    /** Sets {@link ControlSettings#httpAddress}. */
    @CanIgnoreReturnValue
    public Builder httpAddress(InetSocketAddress value) {
      httpAddress = value;
      return this;
    }

    /** Sets {@link ControlSettings#peerAddress}. */
    @CanIgnoreReturnValue
    public Builder peerAddress(InetSocketAddress value) {
      peerAddress = value;
      return this;
    }

    /** Sets {@link ControlSettings#entries}. */
    @CanIgnoreReturnValue
    public Builder entries(ImmutableMap<ProcessId, InetSocketAddress> value) {
      entries = value;
      return this;
    }

    /** Sets {@link ControlSettings#controls}. */
    @CanIgnoreReturnValue
    public Builder controls(ImmutableMap<ProcessId, InetSocketAddress> value) {
      controls = value;
      return this;
    }

    /** Sets {@link ControlSettings#dataFolder}. */
    @CanIgnoreReturnValue
    public Builder dataFolder(Path value) {
      dataFolder = value;
      return this;
    }

    /** Sets {@link ControlSettings#sharedSecretFile}. */
    @CanIgnoreReturnValue
    public Builder sharedSecretFile(Path value) {
      sharedSecretFile = value;
      return this;
    }

    /** Sets {@link ControlSettings#operatorTokenFile}. */
    @CanIgnoreReturnValue
    public Builder operatorTokenFile(Path value) {
      operatorTokenFile = value;
      return this;
    }

    /** Sets {@link ControlSettings#platformAddress}. */
    @CanIgnoreReturnValue
    public Builder platformAddress(InetSocketAddress value) {
      platformAddress = Optional.of(value);
      return this;
    }

    /** Sets {@link ControlSettings#drainTimeoutMilliseconds}. */
    @CanIgnoreReturnValue
    public Builder drainTimeoutMilliseconds(long value) {
      drainTimeoutMilliseconds = value;
      return this;
    }

    /** Sets {@link ControlSettings#electionTimeoutMilliseconds}. */
    @CanIgnoreReturnValue
    public Builder electionTimeoutMilliseconds(long value) {
      electionTimeoutMilliseconds = value;
      return this;
    }

    /** Sets {@link ControlSettings#replicationHeartbeatMilliseconds}. */
    @CanIgnoreReturnValue
    public Builder replicationHeartbeatMilliseconds(long value) {
      replicationHeartbeatMilliseconds = value;
      return this;
    }

    /** Sets {@link ControlSettings#snapshotEveryCommands}. */
    @CanIgnoreReturnValue
    public Builder snapshotEveryCommands(long value) {
      snapshotEveryCommands = value;
      return this;
    }

    /** Sets {@link ControlSettings#heartbeatIntervalMilliseconds}. */
    @CanIgnoreReturnValue
    public Builder heartbeatIntervalMilliseconds(long value) {
      heartbeatIntervalMilliseconds = value;
      return this;
    }

    /** Sets {@link ControlSettings#peerSilenceMilliseconds}. */
    @CanIgnoreReturnValue
    public Builder peerSilenceMilliseconds(long value) {
      peerSilenceMilliseconds = value;
      return this;
    }

    /**
     * Builds the settings; does not check values.
     *
     * @throws NullPointerException if a required setting other than a map of addresses was not set
     */
    public ControlSettings build() {
      return new ControlSettings(
          Objects.requireNonNull(process, "process"),
          Objects.requireNonNull(availabilityZone, "availabilityZone"),
          Objects.requireNonNull(region, "region"),
          Objects.requireNonNull(httpAddress, "httpAddress"),
          Objects.requireNonNull(peerAddress, "peerAddress"),
          entries,
          controls,
          Objects.requireNonNull(dataFolder, "dataFolder"),
          Objects.requireNonNull(sharedSecretFile, "sharedSecretFile"),
          Objects.requireNonNull(operatorTokenFile, "operatorTokenFile"),
          platformAddress,
          drainTimeoutMilliseconds,
          electionTimeoutMilliseconds,
          replicationHeartbeatMilliseconds,
          snapshotEveryCommands,
          heartbeatIntervalMilliseconds,
          peerSilenceMilliseconds);
    }
  }
}
