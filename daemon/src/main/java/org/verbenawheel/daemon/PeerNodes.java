package org.verbenawheel.daemon;

import com.google.common.collect.ImmutableMap;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.InstantSource;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.settings.ControlSettings;
import org.verbenawheel.settings.EntrySettings;
import org.verbenawheel.supervision.PartFailedException;
import org.verbenawheel.wire.PeerNode;
import org.verbenawheel.wire.PeerNodeBuilder;
import org.verbenawheel.wire.PeerTimings;
import org.verbenawheel.wire.SharedSecret;

/** Creates the node of a process that connects it to the other processes, from its settings. */
public final class PeerNodes {
  private PeerNodes() {}

  /**
   * Creates the node of an entry.
   *
   * @param settings the settings of the entry
   * @param clock a clock that never goes back
   * @throws PartFailedException if the shared secret cannot be read
   */
  public static PeerNode of(EntrySettings settings, InstantSource clock)
      throws PartFailedException {
    return builder(settings.entries(), settings.controls(), clock)
        .self(settings.process())
        .listenAddress(Addresses.text(settings.peerAddress()))
        .secret(SharedSecret.of(SecretFile.read(settings.sharedSecretFile(), "sharedSecretFile")))
        .timings(
            timings(settings.heartbeatIntervalMilliseconds(), settings.peerSilenceMilliseconds()))
        .build();
  }

  /**
   * Creates the node of a control process.
   *
   * @param settings the settings of the control process
   * @param clock a clock that never goes back
   * @throws PartFailedException if the shared secret cannot be read
   */
  public static PeerNode of(ControlSettings settings, InstantSource clock)
      throws PartFailedException {
    return builder(settings.entries(), settings.controls(), clock)
        .self(settings.process())
        .listenAddress(Addresses.text(settings.peerAddress()))
        .secret(SharedSecret.of(SecretFile.read(settings.sharedSecretFile(), "sharedSecretFile")))
        .timings(
            timings(settings.heartbeatIntervalMilliseconds(), settings.peerSilenceMilliseconds()))
        .build();
  }

  private static PeerNodeBuilder builder(
      ImmutableMap<ProcessId, InetSocketAddress> entries,
      ImmutableMap<ProcessId, InetSocketAddress> controls,
      InstantSource clock) {
    return PeerNode.builder()
        .peers(
            ImmutableMap.<ProcessId, String>builder()
                .putAll(Addresses.texts(entries))
                .putAll(Addresses.texts(controls))
                .buildOrThrow())
        .kinds(DaemonMessages.KINDS)
        .clock(clock);
  }

  private static PeerTimings timings(long heartbeatMilliseconds, long silenceMilliseconds) {
    return new PeerTimings(
        Duration.ofMillis(heartbeatMilliseconds),
        Duration.ofMillis(silenceMilliseconds),
        PeerTimings.DEFAULT.openTimeout(),
        PeerTimings.DEFAULT.firstRetryWait(),
        PeerTimings.DEFAULT.longestRetryWait());
  }
}
