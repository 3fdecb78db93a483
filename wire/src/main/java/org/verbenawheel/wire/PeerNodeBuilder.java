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

/** Collects the settings of a {@link PeerNode}. */
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
   * @param process the name under which the other processes know this one
   */
  public PeerNodeBuilder self(ProcessId process) {
    this.self = process;
    return this;
  }

  /**
   * Sets the address to listen on.
   *
   * @param address an IP address and a port, such as {@code 10.0.0.7:7400}; port 0 selects a free
   *     port
   * @throws IllegalArgumentException if the text is not such an address
   */
  public PeerNodeBuilder listenAddress(String address) {
    this.listenAddress = PeerAddresses.parse(address);
    return this;
  }

  /**
   * Sets the other processes of the deployment; only these may connect.
   *
   * @param addresses an IP address and a port for each process, without this one
   * @throws IllegalArgumentException if a text is not such an address
   */
  public PeerNodeBuilder peers(Map<ProcessId, String> addresses) {
    return peers(PeerDirectory.of(addresses));
  }

  /**
   * Sets the directory of the other processes of the deployment; only these may connect.
   *
   * @param directory consulted for each new connection
   */
  public PeerNodeBuilder peers(PeerDirectory directory) {
    this.peers = directory;
    return this;
  }

  /**
   * Sets the secret that all processes of the deployment share.
   *
   * @param sharedSecret the same in every process
   */
  public PeerNodeBuilder secret(SharedSecret sharedSecret) {
    this.secret = sharedSecret;
    return this;
  }

  /**
   * Sets the kinds of message that can be sent and received.
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
   * @param source provides instants that never go back
   */
  public PeerNodeBuilder clock(InstantSource source) {
    this.clock = source;
    return this;
  }

  /**
   * Sets heartbeat, timeouts and backoff of connections.
   *
   * @param peerTimings by default {@link PeerTimings#DEFAULT}
   */
  public PeerNodeBuilder timings(PeerTimings peerTimings) {
    this.timings = peerTimings;
    return this;
  }

  /**
   * Sets the maximum length of a frame. Longer ones are neither sent nor accepted.
   *
   * @param bytes the same on all processes
   */
  public PeerNodeBuilder maximumFrameBytes(int bytes) {
    this.maximumFrameBytes = bytes;
    return this;
  }

  /**
   * Sets the maximum length of the outgoing queue to one peer.
   *
   * @param bytes beyond this limit, messages are dropped and requests fail as not run
   */
  public PeerNodeBuilder maximumQueueBytes(long bytes) {
    this.maximumQueueBytes = bytes;
    return this;
  }

  /**
   * Builds the node. It opens no connection until it is started.
   *
   * @throws NullPointerException if the process's name, its address or the secret is not set
   */
  public PeerNode build() {
    ProcessId process = checkNotNull(self, "set the process's name with self()");
    return new PeerNode(
        new PeerNodeSettings(
            process,
            checkNotNull(listenAddress, "set the address with listenAddress()"),
            peers,
            checkNotNull(secret, "set the shared secret with secret()"),
            kinds,
            clock,
            timings,
            maximumFrameBytes,
            maximumQueueBytes));
  }
}
