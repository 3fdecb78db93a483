package org.verbenawheel.daemon;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import com.google.common.net.HostAndPort;
import java.net.InetSocketAddress;
import java.util.Map;
import org.verbenawheel.identity.ProcessId;

/** Writes addresses as {@code ip:port}. */
public final class Addresses {
  private Addresses() {}

  /**
   * Returns the text of one address.
   *
   * @param address an IP number and a port
   */
  public static String text(InetSocketAddress address) {
    return HostAndPort.fromParts(address.getAddress().getHostAddress(), address.getPort())
        .toString();
  }

  /**
   * Returns the texts of several addresses.
   *
   * @param addresses an IP number and a port for each process
   */
  public static ImmutableMap<ProcessId, String> texts(Map<ProcessId, InetSocketAddress> addresses) {
    return ImmutableMap.copyOf(Maps.transformValues(addresses, Addresses::text));
  }
}
