package org.verbenawheel.wire;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.verbenawheel.identity.ProcessId;
import org.verbenawheel.supervision.PartFailedException;

/** Starts nodes on free loopback ports and stops all of them when closed. */
final class TestNodes implements AutoCloseable {
  static final ProcessId ENTRY_1 = new ProcessId("entry-1");
  static final ProcessId ENTRY_2 = new ProcessId("entry-2");
  static final SharedSecret SECRET = SharedSecret.of("a secret of many bytes");
  static final Duration GENEROUS_TIMEOUT = Duration.ofSeconds(30);

  private static final PeerTimings SHORT_TIMINGS =
      new PeerTimings(
          Duration.ofMillis(100),
          Duration.ofMillis(600),
          Duration.ofMillis(2000),
          Duration.ofMillis(10),
          Duration.ofMillis(100));

  private final List<PeerNode> started = new ArrayList<>();

  static PeerNodeBuilder builder(ProcessId self) {
    return PeerNode.builder()
        .self(self)
        .listenAddress("127.0.0.1:0")
        .secret(SECRET)
        .kinds(TestMessages.KINDS)
        .timings(SHORT_TIMINGS);
  }

  /** Starts entry 2, which accepts connections from entry 1. */
  PeerNode startServer(RecordingHandler handler) throws PartFailedException {
    return start(builder(ENTRY_2).peers(ImmutableMap.of(ENTRY_1, "127.0.0.1:1")), handler);
  }

  /** Starts entry 1, which connects to entry 2 at a port. */
  PeerNode startClient(int port) throws PartFailedException {
    return start(
        builder(ENTRY_1).peers(ImmutableMap.of(ENTRY_2, "127.0.0.1:" + port)),
        new RecordingHandler());
  }

  PeerNode start(PeerNodeBuilder builder, RecordingHandler handler) throws PartFailedException {
    PeerNode node = builder.build();
    node.addHandler(handler);
    node.start(failure -> {});
    started.add(node);
    return node;
  }

  @Override
  public void close() {
    started.forEach(node -> node.stop(Duration.ZERO));
  }
}
