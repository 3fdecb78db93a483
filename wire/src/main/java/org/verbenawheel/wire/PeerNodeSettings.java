package org.verbenawheel.wire;

import java.net.InetSocketAddress;
import java.time.InstantSource;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.peer.MessageKinds;

/**
 * What a {@link PeerNode} is built from.
 *
 * @param self this process
 * @param listenAddress where peers connect to
 * @param peers tells the addresses of the other processes
 * @param secret the secret that all processes share
 * @param kinds the kinds of message that may pass
 * @param clock tells instants that never go back
 * @param timings how connections are timed
 * @param maximumFrameBytes the longest message
 * @param maximumQueueBytes the longest queue towards one peer
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
