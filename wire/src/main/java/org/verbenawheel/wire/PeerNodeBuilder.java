package org.verbenawheel.wire;

import static com.google.common.base.Preconditions.checkNotNull;

import java.net.InetSocketAddress;
import java.time.InstantSource;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.peer.MessageKinds;
import org.verbenawheel.time.MonotonicInstantSource;

/** Builds a {@link PeerNode}. */
public final class PeerNodeBuilder {
  private @Nullable ProcessId self;
  private @Nullable InetSocketAddress listenAddress;
  private @Nullable SharedSecret secret;
  private PeerDirectory peers = process -> Optional.empty();
  private MessageKinds kinds = MessageKinds.builder().build();
  private InstantSource clock = MonotonicInstantSource.startingNow();
  private PeerTimings timings = PeerTimings.DEFAULT;
  private int maximumFrameBytes = PeerNode.DEFAULT_MAXIMUM_FRAME_BYTES;
  private long maximumQueueBytes = PeerNode.DEFAULT_MAXIMUM_QUEUE_BYTES;

  PeerNodeBuilder() {}

  /**
   * Sets this process's name.
   *
   * @param process as the settings of all processes give it
   */
  public PeerNodeBuilder self(ProcessId process) {
    this.self = process;
    return this;
  }

  /**
   * Sets where to listen.
   *
   * @param address an IP number and a port, such as {@code 10.0.0.7:7400}; port 0 takes a free one
   * @throws IllegalArgumentException if the text is no such address
   */
  public PeerNodeBuilder listenAddress(String address) {
    this.listenAddress = PeerAddresses.parse(address);
    return this;
  }

  /**
   * Sets the processes to talk to; only these may connect. This process itself is left out.
   *
   * @param addresses an IP number and a port for each process
   * @throws IllegalArgumentException if a text is no such address
   */
  public PeerNodeBuilder peers(Map<ProcessId, String> addresses) {
    return peers(PeerDirectory.of(addresses));
  }

  /**
   * Sets what tells the processes to talk to; only these may connect.
   *
   * @param directory looked up at each connection
   */
  public PeerNodeBuilder peers(PeerDirectory directory) {
    this.peers = directory;
    return this;
  }

  /**
   * Sets the secret that all processes of the deployment share.
   *
   * @param sharedSecret the same everywhere
   */
  public PeerNodeBuilder secret(SharedSecret sharedSecret) {
    this.secret = sharedSecret;
    return this;
  }

  /**
   * Sets the kinds of message that may pass.
   *
   * @param messageKinds the kinds of all topics that the process serves
   */
  public PeerNodeBuilder kinds(MessageKinds messageKinds) {
    this.kinds = messageKinds;
    return this;
  }

  /**
   * Sets the clock.
   *
   * @param source tells instants that never go back
   */
  public PeerNodeBuilder clock(InstantSource source) {
    this.clock = source;
    return this;
  }

  /**
   * Sets how connections are timed.
   *
   * @param peerTimings the timings
   */
  public PeerNodeBuilder timings(PeerTimings peerTimings) {
    this.timings = peerTimings;
    return this;
  }

  /**
   * Sets the longest message; longer ones are neither sent nor accepted.
   *
   * @param bytes the same on all processes
   */
  public PeerNodeBuilder maximumFrameBytes(int bytes) {
    this.maximumFrameBytes = bytes;
    return this;
  }

  /**
   * Sets how much may wait for one slow peer.
   *
   * @param bytes beyond these, messages are dropped and requests fail as not run
   */
  public PeerNodeBuilder maximumQueueBytes(long bytes) {
    this.maximumQueueBytes = bytes;
    return this;
  }

  /**
   * Builds the node; it opens nothing until it is started.
   *
   * @throws NullPointerException if the process's name, its address or the secret was not given
   */
  public PeerNode build() {
    ProcessId process = checkNotNull(self, "give the process's name with self()");
    return new PeerNode(
        new PeerNodeSettings(
            process,
            checkNotNull(listenAddress, "give the address with listenAddress()"),
            peers,
            checkNotNull(secret, "give the shared secret with secret()"),
            kinds,
            clock,
            timings,
            maximumFrameBytes,
            maximumQueueBytes));
  }
}
