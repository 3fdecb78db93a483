package org.verbenawheel.wire;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;

/** Reads addresses as settings give them. */
final class PeerAddresses {
  private PeerAddresses() {}

  /**
   * Returns the address in a text such as {@code 10.0.0.7:7400}.
   *
   * @throws IllegalArgumentException if it is not an IP number with a port
   */
  static InetSocketAddress parse(String text) {
    HostAndPort parts = HostAndPort.fromString(text);
    if (!parts.hasPort() || !InetAddresses.isInetAddress(parts.getHost())) {
      throw new IllegalArgumentException(
          "a peer address is an IP number and a port such as 10.0.0.7:7400, not '" + text + "'");
    }
    return new InetSocketAddress(InetAddresses.forString(parts.getHost()), parts.getPort());
  }
}
