package org.verbenawheel.wire;

import com.google.common.collect.ImmutableMap;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import org.verbenawheel.identity.ProcessId;

/** Tells the addresses of the processes that may connect, and that may be connected to. */
@FunctionalInterface
public interface PeerDirectory {
  /**
   * Returns the address of a process.
   *
   * @param process the process to look up; never this process itself
   * @return empty if no such process belongs to the deployment
   */
  Optional<InetSocketAddress> addressOf(ProcessId process);

  /**
   * Returns a directory of the processes that the settings name.
   *
   * @param addresses an IP number and a port for each process
   * @throws IllegalArgumentException if a text is no such address
   */
  static PeerDirectory of(Map<ProcessId, String> addresses) {
    ImmutableMap.Builder<ProcessId, InetSocketAddress> parsed = ImmutableMap.builder();
    addresses.forEach((peer, address) -> parsed.put(peer, PeerAddresses.parse(address)));
    ImmutableMap<ProcessId, InetSocketAddress> known = parsed.buildOrThrow();
    return process -> Optional.ofNullable(known.get(process));
  }

  /**
   * Returns a directory for deployments whose processes are named by their peer address, such as
   * {@code 10.0.0.7:7400}: every process that holds the shared secret belongs to the deployment.
   */
  static PeerDirectory namedByAddress() {
    return process -> {
      try {
        return Optional.of(PeerAddresses.parse(process.value()));
      } catch (IllegalArgumentException notAnAddress) {
        return Optional.empty();
      }
    };
  }
}
