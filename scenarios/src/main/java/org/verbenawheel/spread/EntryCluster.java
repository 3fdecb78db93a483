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

/** Seven entries in one process, each with its own connections over loopback. */
final class EntryCluster implements AutoCloseable {
  static final int ENTRIES = 7;

  private static final SharedSecret SECRET = SharedSecret.of("a secret for experiments");
  private static final MessageKinds KINDS =
      MessageKinds.builder().addAll(MembershipMessages.KINDS).addAll(WholeListNode.KINDS).build();

  private final Way way;
  private final ImmutableMap<ProcessId, String> addresses;
  private final List<PeerNode> connections = new ArrayList<>();
  private final List<EntryNode> nodes = new ArrayList<>();

  EntryCluster(Way way) throws IOException, PartFailedException {
    this.way = way;
    this.addresses = freeAddresses();
    for (int index = 0; index < ENTRIES; index++) {
      connections.add(newConnections(index));
      nodes.add(newNode(index));
    }
    nodes.forEach(EntryNode::start);
  }

  EntryNode node(int index) {
    return nodes.get(index);
  }

  /** Returns the position of an entry. */
  int indexOf(ProcessId entry) {
    return addresses.keySet().asList().indexOf(entry);
  }

  /** Returns what passed through all entries' connections together. */
  ImmutableList<PeerCounters.Snapshot> counters() {
    return connections.stream()
        .map(node -> node.counters().snapshot())
        .collect(ImmutableList.toImmutableList());
  }

  /** Stops an entry with its connections. */
  void stop(int index) {
    nodes.get(index).stop();
    connections.get(index).stop(Duration.ZERO);
  }

  /** Starts a stopped entry anew, with nothing remembered. */
  void restart(int index) throws PartFailedException {
    connections.set(index, newConnections(index));
    nodes.set(index, newNode(index));
    nodes.get(index).start();
  }

  @Override
  public void close() {
    for (int index = 0; index < ENTRIES; index++) {
      stop(index);
    }
  }

  private PeerNode newConnections(int index) throws PartFailedException {
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
    PeerNode links = connections.get(index);
    EntryNode node = way.newNode(entries.asList().get(index), entries, links);
    links.addHandler(node);
    return node;
  }

  private static ImmutableMap<ProcessId, String> freeAddresses() throws IOException {
    ImmutableMap.Builder<ProcessId, String> addresses = ImmutableMap.builder();
    List<ServerSocket> held = new ArrayList<>();
    for (int number = 1; number <= ENTRIES; number++) {
      ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
      held.add(socket);
      addresses.put(new ProcessId("entry-" + number), "127.0.0.1:" + socket.getLocalPort());
    }
    for (ServerSocket socket : held) {
      socket.close();
    }
    return addresses.buildOrThrow();
  }
}
