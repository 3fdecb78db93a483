package org.verbenawheel.spread;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.membership.MembershipMessages;
import org.verbenawheel.peer.MessageKinds;
import org.verbenawheel.supervision.PartFailedException;
import org.verbenawheel.wire.PeerCounters;
import org.verbenawheel.wire.PeerNode;
import org.verbenawheel.wire.SharedSecret;

/** Runs seven entries in one process, connected to each other over loopback. */
final class EntryCluster implements AutoCloseable {
  static final int ENTRIES = 7;

  private static final SharedSecret SECRET = SharedSecret.of("a secret for experiments");
  private static final MessageKinds KINDS =
      MessageKinds.builder().addAll(MembershipMessages.KINDS).addAll(WholeListNode.KINDS).build();

  private final MembershipProtocol protocol;
  private final ImmutableMap<ProcessId, String> addresses;
  private final List<PeerNode> peerNodes = new ArrayList<>();
  private final List<EntryNode> nodes = new ArrayList<>();

  EntryCluster(MembershipProtocol protocol) throws IOException, PartFailedException {
    this.protocol = protocol;
    this.addresses = freeAddresses();
    for (int index = 0; index < ENTRIES; index++) {
      peerNodes.add(newPeerNode(index));
      nodes.add(newNode(index));
    }
    nodes.forEach(EntryNode::start);
  }

  EntryNode node(int index) {
    return nodes.get(index);
  }

  /** Returns the index of an entry, as used by the other methods. */
  int indexOf(ProcessId entry) {
    return addresses.keySet().asList().indexOf(entry);
  }

  /** Returns the traffic counters of each entry's connections. */
  ImmutableList<PeerCounters.Snapshot> counters() {
    return peerNodes.stream()
        .map(node -> node.counters().snapshot())
        .collect(ImmutableList.toImmutableList());
  }

  /** Stops an entry and closes its connections. */
  void stop(int index) {
    nodes.get(index).stop();
    peerNodes.get(index).stop(Duration.ZERO);
  }

  /** Starts a stopped entry again, with empty membership state. */
  void restart(int index) throws PartFailedException {
    peerNodes.set(index, newPeerNode(index));
    nodes.set(index, newNode(index));
    nodes.get(index).start();
  }

  @Override
  public void close() {
    for (int index = 0; index < ENTRIES; index++) {
      stop(index);
    }
  }

  private PeerNode newPeerNode(int index) throws PartFailedException {
    ProcessId self = addresses.keySet().asList().get(index);
    PeerNode node =
        PeerNode.builder()
            .self(self)
            .listenAddress(addresses.values().asList().get(index))
            .peers(addresses)
            .secret(SECRET)
            .kinds(KINDS)
            .build();
    node.start(failure -> {});
    return node;
  }

  private EntryNode newNode(int index) {
    ImmutableSet<ProcessId> entries = addresses.keySet();
    PeerNode peerNode = peerNodes.get(index);
    EntryNode node = protocol.newNode(entries.asList().get(index), entries, peerNode);
    peerNode.addHandler(node);
    return node;
  }

  private static ImmutableMap<ProcessId, String> freeAddresses() throws IOException {
    ImmutableMap.Builder<ProcessId, String> addresses = ImmutableMap.builder();
    List<ServerSocket> sockets = new ArrayList<>();
    for (int number = 1; number <= ENTRIES; number++) {
      ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
      sockets.add(socket);
      addresses.put(new ProcessId("entry-" + number), "127.0.0.1:" + socket.getLocalPort());
    }
    for (ServerSocket socket : sockets) {
      socket.close();
    }
    return addresses.buildOrThrow();
  }
}
