package org.verbenawheel.settings;

import com.google.common.collect.ImmutableMap;
import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.verbenawheel.identity.AvailabilityZone;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.identity.Region;

/**
 * The settings of one entry process.
 *
 * @param process the name of this process, unique in the deployment
 * @param availabilityZone the availability zone of this process
 * @param region the region of this process
 * @param httpAddress the address on which this process serves callers and endpoints by HTTP
 * @param peerAddress the address on which other processes of the system connect to this one
 * @param entries the peer address of each entry, including this one
 * @param controls the peer address of each control replica
 * @param entryHttpAddresses the HTTP address of each entry, from which endpoints receive the
 *     address of their home entry
 * @param sharedSecretFile the file with the secret with which processes of the system authenticate
 *     to one another
 * @param operatorTokenFile the file with the token that operators must send
 * @param maximumBodyBytes the largest body of a request or a response, in bytes
 * @param drainTimeoutMilliseconds how long requests in flight may take to complete during a planned
 *     stop
 * @param configurationFreshnessMilliseconds how long a configuration may be used, counted from when
 *     its confirmation was requested
 * @param configurationPollMilliseconds the time between two requests for the configuration
 * @param heartbeatIntervalMilliseconds the time between heartbeats on a peer connection
 * @param peerSilenceMilliseconds a peer connection on which nothing is received for this long is
 *     replaced
 */
public record EntrySettings(
    ProcessId process,
    AvailabilityZone availabilityZone,
    Region region,
    InetSocketAddress httpAddress,
    InetSocketAddress peerAddress,
    ImmutableMap<ProcessId, InetSocketAddress> entries,
    ImmutableMap<ProcessId, InetSocketAddress> controls,
    ImmutableMap<ProcessId, InetSocketAddress> entryHttpAddresses,
    Path sharedSecretFile,
    Path operatorTokenFile,
    long maximumBodyBytes,
    long drainTimeoutMilliseconds,
    long configurationFreshnessMilliseconds,
    long configurationPollMilliseconds,
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
    private ImmutableMap<ProcessId, InetSocketAddress> entryHttpAddresses = ImmutableMap.of();
    private @Nullable Path sharedSecretFile;
    private @Nullable Path operatorTokenFile;
    private long maximumBodyBytes =
        EntrySettingDefinitions.MAXIMUM_BODY_BYTES.defaultNumber().orElseThrow();
    private long drainTimeoutMilliseconds =
        EntrySettingDefinitions.DRAIN_TIMEOUT_MILLISECONDS.defaultNumber().orElseThrow();
    private long configurationFreshnessMilliseconds =
        EntrySettingDefinitions.CONFIGURATION_FRESHNESS_MILLISECONDS.defaultNumber().orElseThrow();
    private long configurationPollMilliseconds =
        EntrySettingDefinitions.CONFIGURATION_POLL_MILLISECONDS.defaultNumber().orElseThrow();
    private long heartbeatIntervalMilliseconds =
        EntrySettingDefinitions.HEARTBEAT_INTERVAL_MILLISECONDS.defaultNumber().orElseThrow();
    private long peerSilenceMilliseconds =
        EntrySettingDefinitions.PEER_SILENCE_MILLISECONDS.defaultNumber().orElseThrow();

    private Builder() {}

    /** Sets {@link EntrySettings#process}. */
    @CanIgnoreReturnValue
    public Builder process(ProcessId value) {
      process = value;
      return this;
    }

    /** Sets {@link EntrySettings#availabilityZone}. */
    @CanIgnoreReturnValue
    public Builder availabilityZone(AvailabilityZone value) {
      availabilityZone = value;
      return this;
    }

    /** Sets {@link EntrySettings#region}. */
    @CanIgnoreReturnValue
    public Builder region(Region value) {
      region = value;
      return this;
    }

    /** Sets {@link EntrySettings#httpAddress}. */
    @CanIgnoreReturnValue
    public Builder httpAddress(InetSocketAddress value) {
      httpAddress = value;
      return this;
    }

    /** Sets {@link EntrySettings#peerAddress}. */
    @CanIgnoreReturnValue
    public Builder peerAddress(InetSocketAddress value) {
      peerAddress = value;
      return this;
    }

    /** Sets {@link EntrySettings#entries}. */
    @CanIgnoreReturnValue
    public Builder entries(ImmutableMap<ProcessId, InetSocketAddress> value) {
      entries = value;
      return this;
    }

    /** Sets {@link EntrySettings#controls}. */
    @CanIgnoreReturnValue
    public Builder controls(ImmutableMap<ProcessId, InetSocketAddress> value) {
      controls = value;
      return this;
    }

    /** Sets {@link EntrySettings#entryHttpAddresses}. */
    @CanIgnoreReturnValue
    public Builder entryHttpAddresses(ImmutableMap<ProcessId, InetSocketAddress> value) {
      entryHttpAddresses = value;
      return this;
    }

    /** Sets {@link EntrySettings#sharedSecretFile}. */
    @CanIgnoreReturnValue
    public Builder sharedSecretFile(Path value) {
      sharedSecretFile = value;
      return this;
    }

    /** Sets {@link EntrySettings#operatorTokenFile}. */
    @CanIgnoreReturnValue
    public Builder operatorTokenFile(Path value) {
      operatorTokenFile = value;
      return this;
    }

    /** Sets {@link EntrySettings#maximumBodyBytes}. */
    @CanIgnoreReturnValue
    public Builder maximumBodyBytes(long value) {
      maximumBodyBytes = value;
      return this;
    }

    /** Sets {@link EntrySettings#drainTimeoutMilliseconds}. */
    @CanIgnoreReturnValue
    public Builder drainTimeoutMilliseconds(long value) {
      drainTimeoutMilliseconds = value;
      return this;
    }

    /** Sets {@link EntrySettings#configurationFreshnessMilliseconds}. */
    @CanIgnoreReturnValue
    public Builder configurationFreshnessMilliseconds(long value) {
      configurationFreshnessMilliseconds = value;
      return this;
    }

    /** Sets {@link EntrySettings#configurationPollMilliseconds}. */
    @CanIgnoreReturnValue
    public Builder configurationPollMilliseconds(long value) {
      configurationPollMilliseconds = value;
      return this;
    }

    /** Sets {@link EntrySettings#heartbeatIntervalMilliseconds}. */
    @CanIgnoreReturnValue
    public Builder heartbeatIntervalMilliseconds(long value) {
      heartbeatIntervalMilliseconds = value;
      return this;
    }

    /** Sets {@link EntrySettings#peerSilenceMilliseconds}. */
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
    public EntrySettings build() {
      return new EntrySettings(
          Objects.requireNonNull(process, "process"),
          Objects.requireNonNull(availabilityZone, "availabilityZone"),
          Objects.requireNonNull(region, "region"),
          Objects.requireNonNull(httpAddress, "httpAddress"),
          Objects.requireNonNull(peerAddress, "peerAddress"),
          entries,
          controls,
          entryHttpAddresses,
          Objects.requireNonNull(sharedSecretFile, "sharedSecretFile"),
          Objects.requireNonNull(operatorTokenFile, "operatorTokenFile"),
          maximumBodyBytes,
          drainTimeoutMilliseconds,
          configurationFreshnessMilliseconds,
          configurationPollMilliseconds,
          heartbeatIntervalMilliseconds,
          peerSilenceMilliseconds);
    }
  }
}
