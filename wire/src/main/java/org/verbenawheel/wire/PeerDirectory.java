package org.verbenawheel.wire;

import com.google.common.collect.ImmutableMap;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import org.verbenawheel.identity.ProcessId;

/** Maps the processes of the deployment, the only ones that may connect, to their addresses. */
@FunctionalInterface
public interface PeerDirectory {
  /**
   * Returns the address of a process.
   *
   * @param process the process to look up; never this process itself
   * @return the address, or empty if the process does not belong to the deployment
   */
  Optional<InetSocketAddress> addressOf(ProcessId process);

  /**
   * Returns a directory of the processes that the settings name.
   *
   * @param addresses an IP address and a port for each process
   * @throws IllegalArgumentException if a text is not such an address
   */
  static PeerDirectory of(Map<ProcessId, String> addresses) {
    ImmutableMap.Builder<ProcessId, InetSocketAddress> parsed = ImmutableMap.builder();
    addresses.forEach((peer, address) -> parsed.put(peer, PeerAddresses.parse(address)));
    ImmutableMap<ProcessId, InetSocketAddress> addressByProcess = parsed.buildOrThrow();
    return process -> Optional.ofNullable(addressByProcess.get(process));
  }

  /**
   * Returns a directory for deployments that name each process by its peer address, such as {@code
   * 10.0.0.7:7400}. Every process that knows the shared secret belongs to such a deployment.
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
