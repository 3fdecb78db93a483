package org.verbenawheel.wire;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;

/** Parses peer addresses from settings. */
final class PeerAddresses {
  private PeerAddresses() {}

  /**
   * Parses an address such as {@code 10.0.0.7:7400}. Never resolves names.
   *
   * @throws IllegalArgumentException if the text is not an IP address with a port
   */
  static InetSocketAddress parse(String text) {
    HostAndPort parts = HostAndPort.fromString(text);
    if (!parts.hasPort() || !InetAddresses.isInetAddress(parts.getHost())) {
      throw new IllegalArgumentException(
          "a peer address is an IP address and a port such as 10.0.0.7:7400, not '" + text + "'");
    }
    return new InetSocketAddress(InetAddresses.forString(parts.getHost()), parts.getPort());
  }
}
