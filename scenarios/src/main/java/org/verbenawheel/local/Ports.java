package org.verbenawheel.local;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Allocates free loopback ports, below the range that the operating system uses for outgoing
 * connections. The first port depends on the process id, so concurrent runs rarely choose the same.
 */
final class Ports {
  private static final int FIRST = 20_000;
  private static final int LAST = 30_000;
  private static final AtomicInteger nextPort =
      new AtomicInteger(FIRST + Math.floorMod((int) ProcessHandle.current().pid() * 40, 9_000));

  private Ports() {}

  /**
   * Returns a loopback address that no process listens on; never the same one twice.
   *
   * @throws IOException if no port of the range is left
   */
  static String freeAddress() throws IOException {
    while (nextPort.get() < LAST) {
      int port = nextPort.getAndIncrement();
      if (isFree(port)) {
        return "127.0.0.1:" + port;
      }
    }
    throw new IOException("no free port from " + FIRST + " to below " + LAST);
  }

  private static boolean isFree(int port) {
    try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
      return socket.isBound();
    } catch (IOException occupied) {
      return false;
    }
  }
}
