package org.verbenawheel.wire;

import java.net.InetSocketAddress;
import java.time.InstantSource;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.peer.MessageKinds;

/**
 * The settings of a {@link PeerNode}, set through {@link PeerNodeBuilder}.
 *
 * @param self the name of this process
 * @param listenAddress the address that peers connect to
 * @param peers the addresses of the other processes
 * @param secret the secret that all processes of the deployment share
 * @param kinds the kinds of message that can be sent and received
 * @param clock provides instants that never go back
 * @param timings heartbeat, timeouts and backoff of connections
 * @param maximumFrameBytes the maximum length of a frame that is sent or accepted
 * @param maximumQueueBytes the maximum length of the outgoing queue to one peer
 */
record PeerNodeSettings(
    ProcessId self,
    InetSocketAddress listenAddress,
    PeerDirectory peers,
    SharedSecret secret,
    MessageKinds kinds,
    InstantSource clock,
    PeerTimings timings,
    int maximumFrameBytes,
    long maximumQueueBytes) {}
