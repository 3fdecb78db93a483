package org.verbenawheel.daemon;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import com.google.common.net.HostAndPort;
import java.net.InetSocketAddress;
import java.util.Map;
import org.verbenawheel.identity.ProcessId;

/** Formats socket addresses as {@code ip:port}. */
public final class Addresses {
  private Addresses() {}

  /**
   * Formats one address.
   *
   * @param address a resolved address
   */
  public static String text(InetSocketAddress address) {
    return HostAndPort.fromParts(address.getAddress().getHostAddress(), address.getPort())
        .toString();
  }

  /**
   * Formats the address of each process.
   *
   * @param addresses a resolved address for each process
   */
  public static ImmutableMap<ProcessId, String> texts(Map<ProcessId, InetSocketAddress> addresses) {
    return ImmutableMap.copyOf(Maps.transformValues(addresses, Addresses::text));
  }
}
