package org.verbenawheel.local;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/** Gives loopback addresses whose ports nobody uses, below the range of outgoing connections. */
final class Ports {
  private static final int FIRST = 20_000;
  private static final int LAST = 30_000;
  private static final AtomicInteger next =
      new AtomicInteger(FIRST + Math.floorMod((int) ProcessHandle.current().pid() * 40, 9_000));

  private Ports() {}

  /**
   * Returns an address that nobody listens on.
   *
   * @throws IOException if there is none
   */
  static String freeAddress() throws IOException {
    while (next.get() < LAST) {
      int port = next.getAndIncrement();
      if (isFree(port)) {
        return "127.0.0.1:" + port;
      }
    }
    throw new IOException("no free port from " + FIRST + " to " + LAST);
  }

  private static boolean isFree(int port) {
    try (ServerSocket free = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
      return free.isBound();
    } catch (IOException used) {
      return false;
    }
  }
}
